import { RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import type { MemberAddress } from "./member-address.ts";

/** Why the control group did not carry out a command. */
export type ControlErrorReason =
    /** Another member leads, or none does. */
    | "not-leader"
    /** The command was refused before it entered the log. */
    | "refused"
    /** The leader changed after the command entered the log; it may or may not take effect. */
    | "unknown"
    /** The storage failed; the process must be restarted. */
    | "storage";

export class ControlError extends Error {
    constructor(readonly reason: ControlErrorReason, message: string, readonly leader?: MemberAddress) {
        super(message);
        this.name = "ControlError";
    }

    /** The error as other processes see it. */
    toRpcError(): RpcError {
        return this.reason === "not-leader"
            ? new RpcError("rejected", this.message, rpcErrorCodes.notLeader, { leader: this.leader })
            : new RpcError("rejected", this.message, rpcErrorCodes.unavailable, { failure: this.reason });
    }
}
