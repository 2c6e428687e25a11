import { request } from "node:http";
import type { Address } from "./http-stand-in.ts";

export interface JsonAnswer {
    status: number;
    headers: Readonly<Record<string, string | string[] | undefined>>;
    body: unknown;
}

/** Sends one request on a connection of its own; rejects when the connection fails or is cut. */
export async function requestJson(
    address: Address,
    method: string,
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
): Promise<JsonAnswer> {
    return await new Promise((resolve, reject) => {
        const req = request({ ...address, method, path, headers, agent: false }, res => {
            const chunks: Buffer[] = [];
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("error", reject);
            res.on("end", () => {
                const text = Buffer.concat(chunks).toString("utf8");
                const isJson = res.headers["content-type"]?.startsWith("application/json") ?? false;
                resolve({
                    status: res.statusCode ?? 0,
                    headers: res.headers,
                    body: isJson ? JSON.parse(text) as unknown : text,
                });
            });
        });
        req.on("error", reject);
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });
}
