import type {
    ClaimGeneration,
    ClaimMessage,
    ClaimOperation,
    ClaimReplicaAddress,
    ClaimReply,
} from "@lentilramp/claims";
import { ClaimCoordinator, ClaimReplica, ClaimTransport } from "@lentilramp/claims";
import { ManualClock } from "@lentilramp/runtime";
import { v7 } from "uuid";

export const issued = Date.UTC(2026, 0, 1);

export function keyAt(msecs: number, sequence = 0): string {
    return v7({ msecs, random: new Uint8Array(16).fill(7), seq: sequence });
}

export const key = keyAt(issued);
export const record = (claimant: string, digest = "d") => ({ claimant, digest, dispatchDeadline: issued + 5_000 });

export const generations: ClaimGeneration[] = [{
    generation: 1,
    fromIssueTime: 0,
    replicas: [0, 1, 2].map(i => ({ identity: `r${i}`, address: String(i), failureDomain: `d${i}` })),
}];

/** Decides one operation and applies its effect, as after a sync. */
export function perform(replica: ClaimReplica, operation: ClaimOperation, now = issued, name = key): ClaimReply {
    const decision = replica.decide({ replica: replica.identity, key: name, operation }, now);
    if (decision.update !== undefined) {
        replica.apply(decision.update);
    }
    return decision.reply;
}

/** Three replicas in memory; `block` keeps messages from reaching a replica and counts them. */
export class DirectTransport extends ClaimTransport {
    readonly replicas = [0, 1, 2].map(i => new ClaimReplica(`r${i}`));
    readonly blocked = new Set<number>();
    sent = 0;

    constructor(private readonly clock: ManualClock) {
        super();
    }

    override async send(address: ClaimReplicaAddress, message: ClaimMessage): Promise<ClaimReply> {
        this.sent++;
        const i = Number(address.address);
        if (this.blocked.has(i)) {
            throw new Error("no route");
        }
        return perform(this.replicas[i]!, message.operation, this.clock.now(), message.key);
    }
}

export function build(): {
    clock: ManualClock;
    transport: DirectTransport;
    coordinator: ClaimCoordinator;
    permit: { valid: boolean; };
} {
    const clock = new ManualClock(issued);
    const transport = new DirectTransport(clock);
    const permit = { valid: true };
    let count = 0;
    const coordinator = new ClaimCoordinator({
        clock,
        transport,
        generations: () => generations,
        mayDispatch: () => permit.valid,
        newClaimant: () => `entry/${++count}`,
    });
    return { clock, transport, coordinator, permit };
}

/** Lets promise callbacks and timers run until the result is there. */
export async function settle<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => done = true);
    while (!done) {
        await new Promise(resolve => setImmediate(resolve));
        if (!done) {
            clock.advanceTo(clock.now() + 50);
        }
    }
    return promise;
}
