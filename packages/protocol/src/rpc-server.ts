import type { EventLog } from "@lentilramp/runtime";
import { createJSONRPCErrorResponse, JSONRPCErrorCode, JSONRPCServer } from "json-rpc-2.0";
import type { z } from "zod";
import { formatIssues } from "./format-issues.ts";
import { type HttpServer, sendJson } from "./http-server.ts";
import type { ProcessKey } from "./process-key.ts";
import { readBody } from "./read-body.ts";
import { RpcError, rpcErrorCodes } from "./rpc-error.ts";

const bodyLimitBytes = 16 * 1_048_576;

/** JSON-RPC 2.0 methods of a process behind `POST /rpc`; every call needs the process key. */
export class RpcServer {
    private readonly server: JSONRPCServer;

    constructor(private readonly key: ProcessKey, private readonly log: EventLog) {
        this.server = new JSONRPCServer({ errorListener: () => undefined });
        this.server.mapErrorToJSONRPCErrorResponse = (id, err: unknown) =>
            err instanceof RpcError
                ? createJSONRPCErrorResponse(id, err.code ?? rpcErrorCodes.unavailable, err.message, err.data)
                : createJSONRPCErrorResponse(id, JSONRPCErrorCode.InternalError, "internal error");
    }

    /** Adds a method; parameters that do not match the schema are refused. */
    method<P extends z.ZodType>(name: string, params: P, run: (params: z.infer<P>) => Promise<unknown>): void {
        this.server.addMethod(name, async (value: unknown) => {
            const parsed = params.safeParse(value);
            if (!parsed.success) {
                throw new RpcError(
                    "rejected",
                    `invalid parameters of ${name}: ${formatIssues(parsed.error)}`,
                    rpcErrorCodes.invalidRequest,
                );
            }
            try {
                return await run(parsed.data);
            }
            catch (err) {
                if (!(err instanceof RpcError)) {
                    this.log.error("rpc.method-failed", { method: name, error: String(err) });
                }
                throw err;
            }
        });
    }

    /** Adds `POST /rpc` to the server of the process. */
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
            const answer = await this.server.receiveJSON((await readBody(req, bodyLimitBytes)).toString("utf8"));
            if (answer) {
                sendJson(res, 200, answer);
            }
            else {
                res.writeHead(204).end();
            }
        });
    }
}
