import { expect } from "chai";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const sourceFolders = [
    ...["agreement", "claims", "control", "entry", "ingress", "protocol", "runtime", "steward", "cli"]
        .map(name => join("packages", name, "src")),
    join("platform", "src"),
];
const eventCall = /\.(?:debug|info|warn|error)\(\s*"([a-z]+\.[a-z-]+)"/g;

function sourcesOf(folder: string): string[] {
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => name.endsWith(".ts"))
        .map(name => readFileSync(join(folder, name), "utf8"));
}

describe("docs/operations/logs.md", () => {
    // Guards against events that operators see but cannot look up.
    it("lists every event that the processes write", () => {
        const page = readFileSync("docs/operations/logs.md", "utf8");
        const names = sourceFolders.flatMap(sourcesOf)
            .flatMap(text => [...text.matchAll(eventCall)].map(match => match[1] ?? ""));
        expect(names).to.include("process.ready");
        expect([...new Set(names)].filter(name => !page.includes(`\`${name}\``))).to.deep.equal([]);
    });
});
