/** Prints results either for reading or, with `--json`, as one JSON document. */
export class Output {
    constructor(private readonly json: boolean) {}

    /** Prints the result of a command. `lines` is its form for reading. */
    result(value: unknown, lines: readonly string[]): void {
        console.log(this.json ? JSON.stringify(value, undefined, 4) : lines.join("\n"));
    }

    /** Prints progress on standard error, so that `--json` output stays one document. */
    progress(line: string): void {
        if (!this.json) {
            console.error(line);
        }
    }
}

/** Formats rows as columns of equal width; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
    const widths = (rows[0] ?? []).map((unused, column) => {
        void unused;
        return Math.max(...rows.map(row => row[column]?.length ?? 0));
    });
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}
