import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { runExample } from "./example.ts";

const folder = new URL("..", import.meta.url);

describe("agreement README", () => {
    // The example has at most 50 lines and commits a command.
    it("does not show an example that no longer matches the interface", async () => {
        const example = readFileSync(new URL("tests/example.ts", folder), "utf8");
        expect(readFileSync(new URL("README.md", folder), "utf8")).to.contain(example.trimEnd());
        expect(example.trimEnd().split("\n").length).to.be.at.most(50);
        expect(await runExample()).to.deep.equal(["x=1"]);
    });

    it("does not import another package, which would prevent embedding the core elsewhere", () => {
        for (const name of readdirSync(new URL("src", folder))) {
            const source = readFileSync(new URL(`src/${name}`, folder), "utf8");
            const imports = [...source.matchAll(/from "([^"]+)"/g)].map(match => match[1]);
            expect(imports.filter(path => path?.startsWith("./") !== true), name).to.deep.equal([]);
        }
    });
});
