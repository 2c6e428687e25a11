import { isFinalStatus, readResponseBody, ReadScheduler } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import { Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import type { z } from "zod";

/**
 * Reason why a call to an endpoint got no response. With `refused`, no byte of the request was sent, so the call was
 * not executed. With the other reasons, the call may have been executed.
 */
export type UpstreamFailure = "refused" | "broken" | "timeout";

export class UpstreamError extends Error {
    constructor(readonly failure: UpstreamFailure, readonly endpoint: string, message: string) {
        super(message);
        this.name = "UpstreamError";
    }
}

export interface UpstreamAddress {
    id: string;
    host: string;
    port: number;
}

export interface UpstreamCall {
    endpoint: UpstreamAddress;
    method: "GET" | "POST" | "DELETE";
    path: string;
    headers: Readonly<Record<string, string>>;
    body?: string;
    /** Time by which the response headers must arrive. */
    deadline: number;
    /** Cancels the call. */
    signal?: AbortSignal;
    /** Whether to use a new connection instead of a pooled one. */
    newConnection?: boolean;
}

const maxSocketsPerEndpoint = 512;
const idleSocketTimeoutMs = 15_000;
const documentLimitBytes = 4 * 1_048_576;
/** Error codes of failed connection attempts, in which no byte of the request reaches the endpoint. */
const connectErrorCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"]);

/** HTTP client with one connection pool for each endpoint. */
export class UpstreamClient {
    /** Shares the event loop among the answers of engines. */
    readonly readScheduler = new ReadScheduler();
    private readonly pools = new Map<string, Agent>();

    constructor(private readonly clock: Clock) {}

    /** Resolves with the response once its headers have arrived. Rejects with an UpstreamError. */
    send(call: UpstreamCall): Promise<IncomingMessage> {
        return new Promise((resolve, reject) => {
            const req = this.createRequest(call);
            const rejectWith = (failure: UpstreamFailure, message: string): void =>
                reject(new UpstreamError(failure, call.endpoint.id, message));
            const timer = this.clock.schedule(call.deadline, () => {
                rejectWith("timeout", "no response headers before the deadline");
                req.destroy();
            });
            req.on("error", (err: NodeJS.ErrnoException) => {
                timer.cancel();
                rejectWith(connectErrorCodes.has(err.code ?? "") ? "refused" : "broken", err.code ?? err.message);
            });
            req.on("response", res => {
                timer.cancel();
                // The reader of the body handles errors after the headers; without this listener they would be fatal.
                res.on("error", () => undefined);
                if (!isFinalStatus(res.statusCode)) {
                    rejectWith("broken", `unexpected status ${res.statusCode}`);
                    req.destroy();
                    return;
                }
                resolve(res);
            });
            req.end(call.body);
        });
    }

    /**
     * Gets a JSON document and validates it with `schema`. The whole answer must arrive by `deadline`, and have a status
     * of success.
     */
    async getJson<T extends z.ZodType>(
        endpoint: UpstreamAddress,
        path: string,
        schema: T,
        deadline: number,
    ): Promise<z.infer<T>> {
        const abort = new AbortController();
        const timer = this.clock.schedule(deadline, () => abort.abort());
        try {
            const res = await this.send({ endpoint, method: "GET", path, headers: {}, deadline, signal: abort.signal });
            const status = res.statusCode ?? 0;
            if (status > 299) {
                res.destroy();
                throw new UpstreamError("broken", endpoint.id, `unexpected status ${status}`);
            }
            return schema.parse(JSON.parse((await readResponseBody(res, documentLimitBytes)).toString("utf8")));
        }
        finally {
            timer.cancel();
        }
    }

    /** Removes the pool of an endpoint and closes its idle connections, for example when a connection is silent. */
    retirePool(endpointId: string): void {
        const pool = this.pools.get(endpointId);
        this.pools.delete(endpointId);
        for (const socket of Object.values(pool?.freeSockets ?? {}).flatMap(sockets => sockets ?? [])) {
            socket.destroy();
        }
    }

    /** Removes the pools of all endpoints that are not in `endpointIds` and closes their idle connections. */
    retainPools(endpointIds: ReadonlySet<string>): void {
        for (const id of [...this.pools.keys()].filter(known => !endpointIds.has(known))) {
            this.retirePool(id);
        }
    }

    close(): void {
        for (const pool of this.pools.values()) {
            pool.destroy();
        }
        this.pools.clear();
    }

    private createRequest(call: UpstreamCall): ClientRequest {
        const { endpoint, body } = call;
        return request({
            host: endpoint.host,
            port: endpoint.port,
            method: call.method,
            path: call.path,
            agent: call.newConnection === true ? false : this.getPool(endpoint.id),
            signal: call.signal,
            headers: {
                ...call.headers,
                ...(body === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": String(Buffer.byteLength(body)) }),
            },
        });
    }

    private getPool(endpointId: string): Agent {
        let pool = this.pools.get(endpointId);
        if (pool === undefined) {
            pool = new Agent({
                keepAlive: true,
                maxSockets: maxSocketsPerEndpoint,
                timeout: idleSocketTimeoutMs,
                scheduling: "lifo",
            });
            this.pools.set(endpointId, pool);
        }
        return pool;
    }
}
