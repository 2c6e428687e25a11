/** Reason why a call between processes failed. */
export type RpcFailure =
    /** The connection was refused; nothing was sent. */
    | "refused"
    /** No response arrived before the deadline; the call may have been executed. */
    | "timeout"
    /** The connection broke or the response was invalid; the call may have been executed. */
    | "broken"
    /** The peer rejected the process key. */
    | "unauthorized"
    /** The peer responded with an error. */
    | "rejected";

/** Error codes of the system's methods, in the range that JSON-RPC 2.0 leaves to implementations. */
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
