/** Error for a JSON document that cannot be read or does not match its schema. */
export class SettingsError extends Error {
    constructor(readonly file: string, readonly problems: readonly string[]) {
        super(problems.map(problem => `${file}: ${problem}`).join("\n"));
        this.name = "SettingsError";
    }
}
