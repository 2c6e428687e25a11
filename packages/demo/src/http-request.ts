import { type IncomingMessage, request } from "node:http";

export interface HttpRequest {
    host: string;
    port: number;
    method?: string;
    path: string;
    headers?: Readonly<Record<string, string>>;
    body?: string;
    /** Time limit for the complete response, in milliseconds; 10 s by default. */
    timeoutMs?: number;
}

export interface HttpResponse {
    status: number;
    headers: IncomingMessage["headers"];
    body: string;
}

const defaultTimeoutMs = 10_000;

/** Sends a request and resolves to the complete response; rejects on a connection error or a timeout. */
export function sendHttpRequest(options: HttpRequest): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
        const req = request({
            host: options.host,
            port: options.port,
            method: options.method ?? "GET",
            path: options.path,
            headers: {
                ...options.headers,
                ...(options.body === undefined
                    ? {}
                    : {
                        "content-type": "application/json",
                        "content-length": String(Buffer.byteLength(options.body)),
                    }),
            },
            agent: false,
            signal: AbortSignal.timeout(options.timeoutMs ?? defaultTimeoutMs),
        }, res => {
            let body = "";
            res.setEncoding("utf8");
            res.on("data", (chunk: string) => body += chunk);
            res.on("end", () => resolve({ status: res.statusCode ?? 0, headers: res.headers, body }));
            res.on("error", reject);
        });
        req.on("error", reject);
        req.end(options.body);
    });
}
