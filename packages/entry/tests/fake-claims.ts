import {
    ClaimCoordinator,
    type ClaimMessage,
    ClaimReplica,
    type ClaimReplicaAddress,
    type ClaimReply,
    ClaimTransport,
} from "@lentilramp/claims";
import { type Clock, SystemClock } from "@lentilramp/runtime";
import { v7 as newId } from "uuid";

/** Three claim replicas in memory, in three failure domains; each can be made unreachable. */
export class FakeClaims extends ClaimTransport {
    readonly unreachable = new Set<string>();
    private readonly clock: Clock = new SystemClock();
    private readonly replicas = new Map(["a", "b", "c"].map(domain => [domain, new ClaimReplica(domain)]));

    override async send(target: ClaimReplicaAddress, message: ClaimMessage): Promise<ClaimReply> {
        const replica = this.replicas.get(target.identity);
        if (replica === undefined || this.unreachable.has(target.identity)) {
            throw new Error("unreachable");
        }
        const { reply, update } = replica.decide(message, this.clock.now());
        if (update !== undefined) {
            replica.apply(update);
        }
        return reply;
    }

    /** Returns the coordinator of one entry; all coordinators share the replicas. */
    coordinator(mayDispatch: () => boolean = () => true): ClaimCoordinator {
        const replicas = [...this.replicas.keys()].map(id => ({ identity: id, address: id, failureDomain: id }));
        return new ClaimCoordinator({
            clock: this.clock,
            transport: this,
            generations: () => [{ generation: 1, fromIssueTime: 0, replicas }],
            mayDispatch,
            newClaimant: () => newId(),
        });
    }
}
