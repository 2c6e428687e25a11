/** An answer other than success; `fields` are added to the JSON error object. */
export class HttpError extends Error {
    constructor(
        readonly status: number,
        readonly type: string,
        message: string,
        readonly fields: Readonly<Record<string, unknown>> = {},
        readonly headers: Readonly<Record<string, string>> = {},
    ) {
        super(message);
        this.name = "HttpError";
    }
}
