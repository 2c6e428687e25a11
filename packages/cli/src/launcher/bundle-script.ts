import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { Script } from "node:vm";

/** A bundle of the program, and the code that V8 has compiled of it. */
export class BundleScript {
    private readonly path: string;
    private readonly script: Script;

    constructor(private readonly folder: string, name = "fleet-bundle") {
        this.path = join(folder, `${name}.cjs`);
        this.script = new Script(
            // The build writes ASCII only, which is read faster as Latin-1.
            `(function (exports, require, module, __filename, __dirname) {${readFileSync(this.path, "latin1")}\n})`,
            { filename: this.path, cachedData: readIfThere(cachePath(folder, name)) },
        );
    }

    /** Runs the bundle as a CommonJS module. */
    run(): void {
        const module = { exports: {} };
        const main = this.script.runInThisContext() as (...parameters: unknown[]) => void;
        main.call(module.exports, module.exports, createRequire(this.path), module, this.path, this.folder);
    }

    /** What V8 has compiled so far. */
    compiledCode(): Buffer {
        return this.script.createCachedData();
    }
}

export function cachePath(folder: string, name = "fleet-bundle"): string {
    return join(folder, `${name}.cache`);
}

/** Without a cache, or with that of another version of Node.js, V8 compiles the bundle as usual. */
function readIfThere(file: string): Buffer | undefined {
    try {
        return readFileSync(file);
    }
    catch (err) {
        if ((err as NodeJS.ErrnoException).code !== "ENOENT") {
            throw err;
        }
        return undefined;
    }
}
