import { RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import type { MemberAddress } from "./member-address.ts";

/** Reason for which a request to the control group failed. */
export type ControlErrorReason =
    /** Another member is the leader, or the group has no leader. */
    | "not-leader"
    /** The request was refused before an entry was appended to the log. */
    | "refused"
    /**
     * The result was not observed, for example because leadership changed; the command may or may not be applied.
     */
    | "unknown"
    /** The storage failed; the operator must restart the process. */
    | "storage";

/** Error of a request to the control group; `leader` is the address of the leader if it is known. */
export class ControlError extends Error {
    constructor(readonly reason: ControlErrorReason, message: string, readonly leader?: MemberAddress) {
        super(message);
        this.name = "ControlError";
    }

    /** Converts the error to the JSON-RPC error that the caller receives. */
    toRpcError(): RpcError {
        return this.reason === "not-leader"
            ? new RpcError("rejected", this.message, rpcErrorCodes.notLeader, { leader: this.leader })
            : new RpcError("rejected", this.message, rpcErrorCodes.unavailable, { failure: this.reason });
    }
}
