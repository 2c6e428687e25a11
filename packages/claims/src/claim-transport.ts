import type { ClaimReplicaAddress } from "./generations.ts";
import type { ClaimMessage, ClaimReply } from "./messages.ts";

/** Sends messages to claim replicas. */
export abstract class ClaimTransport {
    /**
     * Resolves with the reply, or rejects when there is none. A message may be delivered more than once and after
     * `deadline`.
     */
    abstract send(replica: ClaimReplicaAddress, message: ClaimMessage, deadline: number): Promise<ClaimReply>;
}
