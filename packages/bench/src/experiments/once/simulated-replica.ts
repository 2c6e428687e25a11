import type { ClaimMessage, ClaimReply, ClaimRules } from "@lentilramp/claims";
import { ClaimReplica, ClaimStorage, DurableClaimReplica } from "@lentilramp/claims";
import type { Clock } from "@lentilramp/runtime";

const syncMs = 0.3;

/** Disk of a simulated replica: a record is durable after the sync time. */
class SimulatedDisk extends ClaimStorage {
    readonly durable: Uint8Array[] = [];
    unsynced: Uint8Array[] = [];

    constructor(private readonly clock: Clock) {
        super();
    }

    override append(record: Uint8Array): Promise<number> {
        this.unsynced.push(record);
        return new Promise(resolve => {
            this.clock.schedule(this.clock.now() + syncMs, () => {
                // After a crash the record is no longer in the list, and nobody waits for the reply.
                if (this.unsynced.includes(record)) {
                    this.unsynced = this.unsynced.filter(other => other !== record);
                    resolve(this.durable.push(record));
                }
            });
        });
    }
}

export type ReplicaFault = "restart" | "restart-keeping-unsynced" | "lost-disk";

/** A claim replica process that restarts from its disk, or without it under a new identity. */
export class SimulatedReplica {
    private disk: SimulatedDisk;
    private process: DurableClaimReplica;
    private starts = 0;

    constructor(private readonly name: string, private readonly clock: Clock, private readonly rules: ClaimRules) {
        this.disk = new SimulatedDisk(clock);
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
            this.disk = new SimulatedDisk(this.clock);
            this.process = this.startProcess(`${this.name}-new-${this.starts}`);
            return;
        }
        const records = [...this.disk.durable, ...(fault === "restart" ? [] : this.disk.unsynced)];
        this.disk = new SimulatedDisk(this.clock);
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
        replica.restore(earlier.snapshot(), this.disk.durable.slice(half));
        return new DurableClaimReplica(replica, this.disk, this.clock, this.disk.durable.length);
    }
}
