/** Reason why a call between processes gave no result. */
export type RpcFailure =
    /** The connection was refused; nothing was sent. */
    | "refused"
    /** No answer came before the deadline; the call may have been executed. */
    | "timeout"
    /** The connection broke or the answer could not be read; the call may have been executed. */
    | "broken"
    /** The peer refused the key. */
    | "unauthorized"
    /** The peer answered with an error. */
    | "rejected";

/** Codes of errors that the project's own methods answer with; JSON-RPC reserves the range for applications. */
export const rpcErrorCodes = { notLeader: -32_001, unavailable: -32_002, invalidRequest: -32_003 } as const;

export class RpcError extends Error {
    constructor(
        readonly failure: RpcFailure,
        message: string,
        readonly code?: number,
        readonly data?: unknown,
    ) {
        super(message);
        this.name = "RpcError";
    }
}
