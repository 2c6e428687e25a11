import { request } from "node:http";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import type { Output } from "../output.ts";

const timeoutMs = 2_000;

/** Performs a GET request and returns the body of a 200 answer. */
export function httpGet(
    address: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<string> {
    return new Promise((resolve, reject) => {
        const req = request(`http://${address}${path}`, { headers, timeout: timeoutMs }, res => {
            let body = "";
            res.setEncoding("utf8");
            res.on("data", (part: string) => body += part);
            res.on(
                "end",
                () => res.statusCode === 200 ? resolve(body) : reject(new Error(`status ${res.statusCode}: ${body}`)),
            );
        });
        req.on("timeout", () => req.destroy(new Error(`no answer within ${timeoutMs} ms`)));
        req.on("error", reject);
        req.end();
    });
}

interface LookupResult {
    addresses: { host: string; port: number; failureDomain: string; }[];
    validUntil: number;
}

/** Asks an entry which addresses to use, as callers do. */
export async function lookup(address: string, output: Output): Promise<ExitCode> {
    let answer: LookupResult;
    try {
        answer = JSON.parse(await httpGet(address, "/v1/addresses")) as LookupResult;
    }
    catch (err) {
        throw new CommandError(exitCodes.failed, `${address}: ${err instanceof Error ? err.message : String(err)}`);
    }
    output.result(answer, [
        ...answer.addresses.map(({ host, port, failureDomain }) => `${host}:${port}  ${failureDomain}`),
        `valid until ${new Date(answer.validUntil).toISOString()}`,
    ]);
    return exitCodes.ok;
}
