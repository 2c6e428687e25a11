import { expect } from "chai";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { BundleScript, cachePath } from "../src/launcher/bundle-script.ts";

describe("BundleScript", () => {
    const ran = globalThis as { bundleRuns?: number; };
    let folder: string;

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "bundle-"));
        ran.bundleRuns = 0;
        writeFileSync(
            join(folder, "fleet-bundle.cjs"),
            'const { join } = require("node:path"); module.exports = join; globalThis.bundleRuns++;',
        );
    });

    it("runs the bundle as a module, with the code cache and without", () => {
        const first = new BundleScript(folder);
        first.run();
        writeFileSync(cachePath(folder), first.compiledCode());
        new BundleScript(folder).run();
        expect(ran.bundleRuns).to.equal(2);
    });

    // After an update of Node.js the cache of the last build is none; a process must start all the same.
    it("compiles the bundle when the cache is of no use", () => {
        writeFileSync(cachePath(folder), "no cache of this version");
        new BundleScript(folder).run();
        expect(ran.bundleRuns).to.equal(1);
    });
});
