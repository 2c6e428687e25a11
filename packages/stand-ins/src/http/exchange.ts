import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from "node:http";
import type { z } from "zod";
import { HttpError } from "./http-error.ts";

/** One request and its answer. Nothing is written to a connection that was silenced. */
export class Exchange {
    readonly method: string;
    /** Decoded segments of the path. */
    readonly path: readonly string[];
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;

    constructor(
        readonly req: IncomingMessage,
        private readonly res: ServerResponse,
        private readonly isSilent: () => boolean,
    ) {
        const url = new URL(req.url ?? "/", "http://stand-in");
        this.method = req.method ?? "GET";
        this.path = url.pathname.split("/").filter(part => part !== "").map(part => decodeURIComponent(part));
        this.query = url.searchParams;
        this.headers = req.headers;
    }

    get disconnected(): boolean {
        return this.res.destroyed;
    }

    /** The value of a header that occurs once. */
    header(name: string): string | undefined {
        const value = this.headers[name];
        return Array.isArray(value) ? value[0] : value;
    }

    /** Runs `run` when the connection closes before the answer was finished. */
    onDisconnect(run: () => void): void {
        this.res.once("close", () => {
            if (!this.res.writableFinished) {
                run();
            }
        });
    }

    /** Reads and validates a JSON body; throws `HttpError` 400 when it does not match. */
    async json<T>(schema: z.ZodType<T>): Promise<T> {
        const chunks: Buffer[] = [];
        for await (const chunk of this.req) {
            chunks.push(chunk as Buffer);
        }
        let value: unknown;
        try {
            value = JSON.parse(Buffer.concat(chunks).toString("utf8") || "{}");
        }
        catch {
            throw new HttpError(400, "invalid-request", "the body is not JSON");
        }
        const parsed = schema.safeParse(value);
        if (!parsed.success) {
            throw new HttpError(400, "invalid-request", parsed.error.message);
        }
        return parsed.data;
    }

    reply(status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
        if (this.isSilent() || this.disconnected) {
            return;
        }
        this.res.writeHead(status, { "content-type": "application/json", ...headers });
        this.res.end(JSON.stringify(body));
    }

    /** Sends the status line and headers of an answer whose body follows in parts. */
    open(status: number, headers: Readonly<Record<string, string>>): void {
        if (!this.isSilent() && !this.disconnected) {
            this.res.writeHead(status, headers);
            this.res.flushHeaders();
        }
    }

    write(part: string | Buffer): void {
        if (!this.isSilent() && !this.disconnected) {
            this.res.write(part);
        }
    }

    end(): void {
        if (!this.isSilent() && !this.disconnected) {
            this.res.end();
        }
    }

    /** Closes the connection without finishing the answer. */
    cut(): void {
        this.res.destroy();
    }
}
