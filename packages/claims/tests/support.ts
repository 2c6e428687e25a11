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

export const issuedAt = Date.UTC(2026, 0, 1);

export function keyAt(msecs: number, sequence = 0): string {
    return v7({ msecs, random: new Uint8Array(16).fill(7), seq: sequence });
}

export const key = keyAt(issuedAt);
export const claimRecord = (claimant: string, digest = "d") => ({
    claimant,
    digest,
    dispatchDeadline: issuedAt + 5_000,
});

export const generations: ClaimGeneration[] = [{
    generation: 1,
    fromIssueTime: 0,
    replicas: [0, 1, 2].map(i => ({ identity: `r${i}`, address: String(i), failureDomain: `d${i}` })),
}];

/** Decides one operation and applies its update, as after a sync. */
export function decideAndApply(
    replica: ClaimReplica,
    operation: ClaimOperation,
    now = issuedAt,
    keyText = key,
): ClaimReply {
    const decision = replica.decide({ replica: replica.identity, key: keyText, operation }, now);
    if (decision.update !== undefined) {
        replica.apply(decision.update);
    }
    return decision.reply;
}

/** Three replicas in memory. Sends to the replicas in `unreachable` fail; `sentCount` counts all sends. */
export class DirectTransport extends ClaimTransport {
    readonly replicas = [0, 1, 2].map(i => new ClaimReplica(`r${i}`));
    readonly unreachable = new Set<number>();
    sentCount = 0;

    constructor(private readonly clock: ManualClock) {
        super();
    }

    override async send(address: ClaimReplicaAddress, message: ClaimMessage): Promise<ClaimReply> {
        this.sentCount++;
        const i = Number(address.address);
        if (this.unreachable.has(i)) {
            throw new Error("no route");
        }
        return decideAndApply(this.replicas[i]!, message.operation, this.clock.now(), message.key);
    }
}

export function buildCoordinator(): {
    clock: ManualClock;
    transport: DirectTransport;
    coordinator: ClaimCoordinator;
    permit: { valid: boolean; };
} {
    const clock = new ManualClock(issuedAt);
    const transport = new DirectTransport(clock);
    const permit = { valid: true };
    let claimCount = 0;
    const coordinator = new ClaimCoordinator({
        clock,
        transport,
        generations: () => generations,
        mayDispatch: () => permit.valid,
        newClaimant: () => `entry/${++claimCount}`,
    });
    return { clock, transport, coordinator, permit };
}

/** Runs promise callbacks and advances the clock until the promise settles. */
export async function runUntil<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
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
