import type { Clock } from "@lentilramp/runtime";
import { Agent, request } from "node:http";
import type { z } from "zod";
import { readResponseBody } from "./read-body.ts";
import { isFinalStatus } from "./response-checks.ts";

const maxResponseBytes = 4 * 1_048_576;

/** Thrown when a call to the platform or an engine fails; `status` is undefined without a complete response. */
export class PlatformError extends Error {
    constructor(readonly status: number | undefined, message: string) {
        super(message);
        this.name = "PlatformError";
    }
}

/** HTTP client for the JSON APIs of the platform and of the engines. */
export class JsonClient {
    private readonly agent = new Agent({ keepAlive: true });

    constructor(private readonly clock: Clock) {}

    /**
     * Sends a request and resolves with the response body, validated against `schema`. Rejects with a PlatformError
     * unless a 2xx response that matches the schema arrives before `deadline`, in milliseconds since the epoch.
     */
    async call<T>(
        method: "GET" | "POST" | "DELETE",
        url: URL,
        schema: z.ZodType<T>,
        deadline: number,
        body?: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<T> {
        const { status, text } = await this.callForText(method, url, deadline, body, headers);
        try {
            return schema.parse(JSON.parse(text));
        }
        catch {
            throw new PlatformError(
                status,
                `${method} ${url.pathname} responded with a body that does not match the schema`,
            );
        }
    }

    /** Sends a request like `call` and resolves with the status and the text of the 2xx response. */
    async callForText(
        method: "GET" | "POST" | "DELETE",
        url: URL,
        deadline: number,
        body?: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): Promise<{ status: number; text: string; }> {
        const response = await this.sendRequest(method, url, deadline, body, headers);
        const { status } = response;
        if (status < 200 || status > 299) {
            throw new PlatformError(status, `${method} ${url.pathname} responded with status ${status}, expected 2xx`);
        }
        return response;
    }

    close(): void {
        this.agent.destroy();
    }

    private sendRequest(
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
                // A reset discards unsent bytes: the request must not arrive after the call has failed.
                req.socket?.resetAndDestroy();
                fail("no response before the deadline");
            });
            req.on("error", err => fail(err.message));
            req.on("response", res => {
                const status = res.statusCode;
                if (!isFinalStatus(status)) {
                    // An error while the connection is closed is not a further failure of the call.
                    res.on("error", () => undefined);
                    return fail(`unexpected status ${status}`);
                }
                readResponseBody(res, maxResponseBytes).then(responseBody => {
                    timer.cancel();
                    resolve({ status, text: responseBody.toString("utf8") });
                }, (err: unknown) => fail(String(err)));
            });
            req.end(text);
        });
    }
}
