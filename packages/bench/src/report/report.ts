import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { readPageAssets } from "./page-assets.ts";
import { renderPage } from "./page.ts";
import { readResultFile, ResultFileError } from "./result-file.ts";

const defaultOutput = "bench-report.html";
const inputError = 2;

/** Errors with a code come from the arguments or from writing the page; any other error is a fault of this program. */
function isInputError(error: unknown): error is Error {
    return error instanceof ResultFileError || (error instanceof Error && "code" in error);
}

/** Runs `npm run report`; returns the exit code and passes lines for the user to `log` and `logError`. */
export function runReport(
    args: readonly string[],
    log: (line: string) => void,
    logError: (line: string) => void,
): number {
    try {
        const { values, positionals } = parseArgs({
            args: [...args],
            options: { out: { type: "string", default: defaultOutput } },
            allowPositionals: true,
        });
        if (positionals.length === 0) {
            logError("usage: npm run report -- [--out FILE] RESULT.json...");
            return inputError;
        }
        const page = renderPage(positionals.map(readResultFile), readPageAssets());
        writeFileSync(values.out, page);
        log(`wrote ${values.out}`);
        return 0;
    }
    catch (error) {
        if (!isInputError(error)) {
            throw error;
        }
        logError(error.message);
        return inputError;
    }
}
