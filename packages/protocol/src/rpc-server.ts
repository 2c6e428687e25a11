import { type EventLog, safeParseLate } from "@lentilramp/runtime";
import { createJSONRPCErrorResponse, JSONRPCErrorCode, JSONRPCServer } from "json-rpc-2.0";
import type { z } from "zod";
import { markAsCall } from "./client-guard.ts";
import { formatIssues } from "./format-issues.ts";
import { type HttpServer, sendJson } from "./http-server.ts";
import type { ProcessKey } from "./process-key.ts";
import { readBody } from "./read-body.ts";
import { RpcError, rpcErrorCodes } from "./rpc-error.ts";

const maxRequestBytes = 16 * 1_048_576;

/** Serves the JSON-RPC 2.0 methods of a process at `POST /rpc`. Every call must present the process key. */
export class RpcServer {
    private readonly server: JSONRPCServer;

    constructor(private readonly key: ProcessKey, private readonly log: EventLog) {
        this.server = new JSONRPCServer({ errorListener: () => undefined });
        this.server.mapErrorToJSONRPCErrorResponse = (id, err: unknown) =>
            err instanceof RpcError
                ? createJSONRPCErrorResponse(id, err.code ?? rpcErrorCodes.unavailable, err.message, err.data)
                : createJSONRPCErrorResponse(id, JSONRPCErrorCode.InternalError, "internal error");
    }

    /** Adds a method. Calls whose parameters do not match `paramsSchema` are rejected. */
    method<P extends z.ZodType>(
        name: string,
        paramsSchema: P,
        handler: (params: z.infer<P>) => Promise<unknown>,
    ): void {
        this.server.addMethod(name, async (params: unknown) => {
            const parsed = safeParseLate(paramsSchema, params);
            if (!parsed.success) {
                throw new RpcError(
                    "rejected",
                    `invalid parameters of ${name}: ${formatIssues(parsed.error)}`,
                    rpcErrorCodes.invalidRequest,
                );
            }
            try {
                return await handler(parsed.data);
            }
            catch (err) {
                if (!(err instanceof RpcError)) {
                    this.log.error("rpc.method-failed", { method: name, error: String(err) });
                }
                throw err;
            }
        });
    }

    /** Adds the route `POST /rpc` to the HTTP server of the process. */
    attach(http: HttpServer): void {
        http.route("POST", "/rpc", async (req, res) => {
            if (!this.key.matches(req.headers.authorization)) {
                req.resume();
                this.log.warn("rpc.unauthorized", { peer: req.socket.remoteAddress });
                sendJson(res, 401, {
                    error: { type: "unauthorized", message: "the process key is required", run: "not-run" },
                });
                return;
            }
            markAsCall(req);
            const response = await this.server.receiveJSON((await readBody(req, maxRequestBytes)).toString("utf8"));
            if (response) {
                sendJson(res, 200, response);
            }
            else {
                res.writeHead(204).end();
            }
        });
    }
}
