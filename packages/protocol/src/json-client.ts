import type { Clock } from "@lentilramp/runtime";
import { Agent, request } from "node:http";
import type { z } from "zod";
import { readBody } from "./read-body.ts";

const answerLimitBytes = 4 * 1_048_576;

/** A call to a platform service failed; `status` is undefined when there was no answer. */
export class PlatformError extends Error {
    constructor(readonly status: number | undefined, message: string) {
        super(message);
        this.name = "PlatformError";
    }
}

/** JSON over HTTP to the platform and to engines. */
export class JsonClient {
    private readonly agent = new Agent({ keepAlive: true });

    constructor(private readonly clock: Clock) {}

    /** Rejects with a PlatformError unless a 2xx answer of the given shape arrives before the deadline. */
    async call<T>(
        method: "GET" | "POST" | "DELETE",
        url: URL,
        schema: z.ZodType<T>,
        deadline: number,
        body?: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<T> {
        const { status, text } = await this.exchange(method, url, deadline, body, headers);
        if (status < 200 || status > 299) {
            throw new PlatformError(status, `${method} ${url.pathname} gave status ${status}`);
        }
        try {
            return schema.parse(JSON.parse(text));
        }
        catch {
            throw new PlatformError(status, `${method} ${url.pathname} gave an answer of unknown shape`);
        }
    }

    close(): void {
        this.agent.destroy();
    }

    private exchange(
        method: string,
        url: URL,
        deadline: number,
        body: unknown,
        headers: Readonly<Record<string, string>>,
    ) {
        const text = body === undefined ? undefined : JSON.stringify(body);
        return new Promise<{ status: number; text: string; }>((resolve, reject) => {
            const req = request(url, {
                method,
                agent: this.agent,
                headers: text === undefined
                    ? { ...headers }
                    : { ...headers, "content-type": "application/json", "content-length": Buffer.byteLength(text) },
            });
            const fail = (reason: string): void => {
                timer.cancel();
                reject(new PlatformError(undefined, `${method} ${url.pathname}: ${reason}`));
                req.destroy();
            };
            const timer = this.clock.schedule(deadline, () => {
                // Bytes that were not delivered yet must not arrive after the caller has been told that it failed.
                req.socket?.resetAndDestroy();
                fail("no answer before the deadline");
            });
            req.on("error", err => fail(err.message));
            req.on("response", res => {
                readBody(res, answerLimitBytes).then(answer => {
                    timer.cancel();
                    resolve({ status: res.statusCode ?? 0, text: answer.toString("utf8") });
                }, (err: unknown) => fail(String(err)));
            });
            req.end(text);
        });
    }
}
