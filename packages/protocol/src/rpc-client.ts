import { type Clock, Component, safeParseLate } from "@lentilramp/runtime";
import { Agent, type ClientRequest, request } from "node:http";
import { z } from "zod";
import type { ProcessKey } from "./process-key.ts";
import { readResponseBody } from "./read-body.ts";
import { RpcError, rpcErrorCodes } from "./rpc-error.ts";

const maxResponseBytes = 16 * 1_048_576;

export interface PeerAddress {
    host: string;
    port: number;
}

const responseSchema = z.object({
    result: z.unknown().optional(),
    error: z.object({ code: z.number(), message: z.string(), data: z.unknown().optional() }).optional(),
});
type JsonRpcResponse = z.infer<typeof responseSchema>;

/**
 * Calls JSON-RPC 2.0 methods of other processes over persistent connections. A connection on which a call timed
 * out is closed, so that later calls do not reuse an unresponsive connection.
 */
export class RpcClient extends Component {
    readonly name = "rpc-client";
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 8, scheduling: "lifo" });
    private nextId = 1;

    constructor(private readonly key: ProcessKey, private readonly clock: Clock) {
        super();
    }

    /**
     * Calls `method` of `peer` and validates the result against `resultSchema`. `deadline` is in milliseconds since
     * the epoch. Throws an RpcError; after a `timeout` or `broken` failure, the peer may have executed the call.
     */
    async call<R extends z.ZodType>(
        peer: PeerAddress,
        method: string,
        params: unknown,
        resultSchema: R,
        deadline: number,
    ): Promise<z.infer<R>> {
        const body = JSON.stringify({ jsonrpc: "2.0", id: this.nextId++, method, params });
        const response = await this.sendRequest(peer, body, deadline);
        if (response.error !== undefined) {
            throw new RpcError("rejected", response.error.message, response.error.code, response.error.data);
        }
        const parsed = safeParseLate(resultSchema, response.result);
        if (!parsed.success) {
            throw new RpcError("broken", `unexpected result of ${method} from ${peer.host}:${peer.port}`);
        }
        return parsed.data;
    }

    override async close(): Promise<void> {
        this.agent.destroy();
    }

    private sendRequest(peer: PeerAddress, body: string, deadline: number): Promise<JsonRpcResponse> {
        return new Promise((resolve, reject) => {
            let req: ClientRequest;
            try {
                req = request({
                    host: peer.host,
                    port: peer.port,
                    path: "/rpc",
                    method: "POST",
                    agent: this.agent,
                    headers: {
                        "content-type": "application/json",
                        "content-length": Buffer.byteLength(body),
                        authorization: this.key.authorization(),
                    },
                });
            }
            catch (err) {
                // The address cannot be used, for instance because the port is out of range; nothing was sent.
                reject(new RpcError("refused", `${peer.host}:${peer.port}: ${String(err)}`));
                return;
            }
            const timer = this.clock.schedule(deadline, () => {
                reject(new RpcError("timeout", `no response from ${peer.host}:${peer.port} before the deadline`));
                req.destroy();
            });
            req.on("error", (err: NodeJS.ErrnoException) => {
                timer.cancel();
                const failure = err.code === "ECONNREFUSED" ? "refused" : "broken";
                reject(new RpcError(failure, `${peer.host}:${peer.port}: ${err.code ?? err.message}`));
            });
            req.on("response", res => {
                readResponseBody(res, maxResponseBytes).then(responseBody => {
                    timer.cancel();
                    resolve(parseResponse(res.statusCode ?? 0, responseBody.toString("utf8")));
                }).catch((err: unknown) => {
                    timer.cancel();
                    reject(err instanceof RpcError ? err : new RpcError("broken", String(err)));
                });
            });
            req.end(body);
        });
    }
}

function parseResponse(status: number, text: string): JsonRpcResponse {
    if (status === 401) {
        throw new RpcError("unauthorized", "the peer rejected the process key; both processes need the same key");
    }
    if (status !== 200) {
        throw new RpcError("broken", `unexpected status ${status}, expected 200`, rpcErrorCodes.unavailable, {
            status,
        });
    }
    const parsed = safeParseLate(responseSchema, JSON.parse(text));
    if (!parsed.success) {
        throw new RpcError("broken", "the response is not one of JSON-RPC");
    }
    return parsed.data;
}
