import type { ClaimMessage, ClaimReply, ClaimRules } from "@lentilramp/claims";
import { ClaimReplica, ClaimStorage, DurableClaimReplica } from "@lentilramp/claims";
import type { Clock } from "@lentilramp/runtime";

const syncMs = 0.3;

/** Disk of a simulated replica: a record is durable after the sync time. */
class SimulatedDisk extends ClaimStorage {
    readonly durable: Uint8Array[] = [];
    private unsynced: Uint8Array[] = [];
    private refused: Uint8Array[] = [];

    constructor(private readonly clock: Clock, private readonly refusesWrite: () => boolean) {
        super();
    }

    override append(record: Uint8Array): Promise<number> {
        if (this.refusesWrite()) {
            this.refused.push(record);
            return Promise.reject(new Error("no room"));
        }
        this.unsynced.push(record);
        return new Promise(resolve => {
            this.clock.schedule(this.clock.now() + syncMs, () => {
                // After a crash the record is no longer in the list, and nobody waits for the reply.
                if (this.unsynced.includes(record)) {
                    this.unsynced = this.unsynced.filter(other => other !== record);
                    this.refused = [];
                    resolve(this.durable.push(record));
                }
            });
        });
    }

    /**
     * Returns what a crash can leave besides the synced records. As in the journal, a refused record can come back
     * only while no later record was written at its place.
     */
    remains(): readonly Uint8Array[] {
        return this.unsynced.length > 0 ? this.unsynced : this.refused;
    }
}

export type ReplicaFault = "restart" | "restart-keeping-unsynced" | "lost-disk";

/** A claim replica process that restarts from its disk, or without it under a new identity. */
export class SimulatedReplica {
    private disk: SimulatedDisk;
    private process: DurableClaimReplica;
    private starts = 0;

    constructor(
        private readonly name: string,
        private readonly clock: Clock,
        private readonly rules: ClaimRules,
        private readonly refusesWrite: () => boolean,
    ) {
        this.disk = new SimulatedDisk(clock, refusesWrite);
        this.process = this.startProcess(name);
    }

    get identity(): string {
        return this.name;
    }

    /** Replies unless the process ends first. */
    handle(message: ClaimMessage, reply: (reply: ClaimReply) => void): void {
        const process = this.process;
        void process.handle(message).then(result => {
            if (this.process === process) {
                reply(result);
            }
        });
    }

    fail(fault: ReplicaFault): void {
        this.starts++;
        if (fault === "lost-disk") {
            this.disk = new SimulatedDisk(this.clock, this.refusesWrite);
            this.process = this.startProcess(`${this.name}-new-${this.starts}`);
            return;
        }
        const records = [...this.disk.durable, ...(fault === "restart" ? [] : this.disk.remains())];
        this.disk = new SimulatedDisk(this.clock, this.refusesWrite);
        this.disk.durable.push(...records);
        this.process = this.startProcess(this.process.replica.identity);
    }

    expire(): void {
        this.process.replica.expire(this.clock.now());
    }

    private startProcess(identity: string): DurableClaimReplica {
        const replica = new ClaimReplica(identity, { rules: this.rules });
        // Half of the records go through a snapshot, so that restarts check its encoding as well.
        const half = Math.floor(this.disk.durable.length / 2);
        const earlier = new ClaimReplica(identity);
        earlier.restore(undefined, this.disk.durable.slice(0, half));
        replica.restore(Buffer.concat([...earlier.snapshotChunks()]), this.disk.durable.slice(half));
        return new DurableClaimReplica(replica, this.disk, this.clock, this.disk.durable.length);
    }
}
