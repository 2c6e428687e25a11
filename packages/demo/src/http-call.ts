import { type IncomingMessage, request } from "node:http";

export interface HttpCall {
    host: string;
    port: number;
    method?: string;
    path: string;
    headers?: Readonly<Record<string, string>>;
    body?: string;
    /** Longest time for the whole answer, in milliseconds. */
    limitMs?: number;
}

export interface HttpAnswer {
    status: number;
    headers: IncomingMessage["headers"];
    body: string;
}

const defaultLimitMs = 10_000;

/** Sends a request and reads the whole answer. */
export function httpCall(call: HttpCall): Promise<HttpAnswer> {
    return new Promise((resolve, reject) => {
        const req = request({
            host: call.host,
            port: call.port,
            method: call.method ?? "GET",
            path: call.path,
            headers: {
                ...call.headers,
                ...(call.body === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": String(Buffer.byteLength(call.body)) }),
            },
            agent: false,
            signal: AbortSignal.timeout(call.limitMs ?? defaultLimitMs),
        }, res => {
            let body = "";
            res.setEncoding("utf8");
            res.on("data", (part: string) => body += part);
            res.on("end", () => resolve({ status: res.statusCode ?? 0, headers: res.headers, body }));
            res.on("error", reject);
        });
        req.on("error", reject);
        req.end(call.body);
    });
}
