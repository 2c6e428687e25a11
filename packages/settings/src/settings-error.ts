/** A JSON document could not be read or does not match its schema. */
export class SettingsError extends Error {
    constructor(readonly file: string, readonly problems: readonly string[]) {
        super(problems.map(problem => `${file}: ${problem}`).join("\n"));
        this.name = "SettingsError";
    }
}
