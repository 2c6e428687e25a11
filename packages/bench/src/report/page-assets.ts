import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** Sources that are embedded in the page. */
export interface PageAssets {
    styles: readonly string[];
    scripts: readonly string[];
}

/** Reads the assets of this folder and of the installed uPlot. */
export function readPageAssets(): PageAssets {
    const uplotFolder = dirname(createRequire(import.meta.url).resolve("uplot"));
    const own = (name: string) => readFileSync(fileURLToPath(new URL(name, import.meta.url)), "utf8");
    const uplot = (name: string) => readFileSync(join(uplotFolder, name), "utf8");
    return {
        styles: [uplot("uPlot.min.css"), own("page.css")],
        // The licence of uPlot requires its notice in every copy.
        scripts: [`/*\n${uplot("../LICENSE")}*/\n${uplot("uPlot.iife.min.js")}`, own("draw-plots.mjs")],
    };
}
