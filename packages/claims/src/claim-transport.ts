import type { ClaimReplicaAddress } from "./generations.ts";
import type { ClaimMessage, ClaimReply } from "./messages.ts";

/** Sends messages to claim replicas. */
export abstract class ClaimTransport {
    /**
     * Resolves with the reply of the replica, or rejects if none arrives. A message may be delivered more than once,
     * and after `deadline`.
     */
    abstract send(replica: ClaimReplicaAddress, message: ClaimMessage, deadline: number): Promise<ClaimReply>;
}
