import { readBody } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import { Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import type { z } from "zod";

/**
 * Why a call to an endpoint gave no response. `refused` means that no byte of the request was sent, so the call was
 * not executed; the others leave that open.
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
    /** Instant by which the response headers must have arrived. */
    deadline: number;
    /** Cancels the call. */
    signal?: AbortSignal;
    /** Uses a new connection instead of a pooled one. */
    newConnection?: boolean;
}

const maxSocketsPerEndpoint = 512;
const idleSocketMs = 15_000;
const documentLimitBytes = 4 * 1_048_576;
/** Failures of connection set-up, in which no byte of the request reaches the endpoint. */
const setupErrors = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"]);

/** Calls endpoints over one pool of connections an endpoint. */
export class UpstreamClient {
    private readonly pools = new Map<string, Agent>();

    constructor(private readonly clock: Clock) {}

    /** Resolves with the response once its headers have arrived; rejects with an UpstreamError. */
    send(call: UpstreamCall): Promise<IncomingMessage> {
        return new Promise((resolve, reject) => {
            const req = this.open(call);
            const fail = (failure: UpstreamFailure, message: string): void =>
                reject(new UpstreamError(failure, call.endpoint.id, message));
            const timer = this.clock.schedule(call.deadline, () => {
                fail("timeout", "no response headers before the deadline");
                req.destroy();
            });
            req.on("error", (err: NodeJS.ErrnoException) => {
                timer.cancel();
                fail(setupErrors.has(err.code ?? "") ? "refused" : "broken", err.code ?? err.message);
            });
            req.on("response", res => {
                timer.cancel();
                // Errors after the headers are seen by the reader of the body; this handler keeps them from being fatal.
                res.on("error", () => undefined);
                resolve(res);
            });
            req.end(call.body);
        });
    }

    /** Gets a JSON document and checks it; the whole answer must arrive by `deadline`. */
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
            return schema.parse(JSON.parse((await readBody(res, documentLimitBytes)).toString("utf8")));
        }
        finally {
            timer.cancel();
        }
    }

    /** Closes the idle connections to an endpoint, for example after one of them was found silent. */
    retirePool(endpointId: string): void {
        const pool = this.pools.get(endpointId);
        this.pools.delete(endpointId);
        for (const socket of Object.values(pool?.freeSockets ?? {}).flatMap(sockets => sockets ?? [])) {
            socket.destroy();
        }
    }

    /** Drops the pools of endpoints that are no longer known. */
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

    private open(call: UpstreamCall): ClientRequest {
        const { endpoint, body } = call;
        return request({
            host: endpoint.host,
            port: endpoint.port,
            method: call.method,
            path: call.path,
            agent: call.newConnection === true ? false : this.pool(endpoint.id),
            signal: call.signal,
            headers: {
                ...call.headers,
                ...(body === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": String(Buffer.byteLength(body)) }),
            },
        });
    }

    private pool(endpointId: string): Agent {
        let pool = this.pools.get(endpointId);
        if (pool === undefined) {
            pool = new Agent({
                keepAlive: true,
                maxSockets: maxSocketsPerEndpoint,
                timeout: idleSocketMs,
                scheduling: "lifo",
            });
            this.pools.set(endpointId, pool);
        }
        return pool;
    }
}
