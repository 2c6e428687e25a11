import {
    type Candidate,
    MembershipCodec,
    type MembershipInput,
    MembershipNode,
    type MembershipOptionsInput,
    type MemberStatus,
    type Update,
} from "@lentilramp/membership";
import { SeededRandom } from "@lentilramp/runtime";
import { EventQueue } from "../configuration/event-queue.ts";

/** IPv4 and UDP headers. */
export const udpHeaderBytes = 28;

export interface NetworkOptions {
    nodes: number;
    seed: number;
    /** Part of the datagrams that is lost. */
    loss: number;
    options: MembershipOptionsInput;
}

interface Process {
    index: number;
    self: Candidate;
    node: MembershipNode;
    running: boolean;
    firstIncarnation: number;
    scheduledAt: number;
    bytes: number;
}

export type ChangeObserver = (observer: number, member: number, status: MemberStatus) => void;

/** Entry processes in 21 failure domains, with loss and delay. Each datagram is encoded for its size. */
export class MembershipSimulation {
    readonly events = new EventQueue();
    readonly random: SeededRandom;
    readonly processes: Process[];
    onChange: ChangeObserver = () => undefined;
    private readonly codec = new MembershipCodec(Buffer.alloc(32, 7));
    private readonly indexes = new Map<string, number>();

    constructor(private readonly settings: NetworkOptions) {
        this.random = new SeededRandom(settings.seed);
        this.processes = [...Array(settings.nodes).keys()].map(index => this.create(index, 1));
        const updates: Update[] = this.processes.map(({ self }) => ({
            id: self.id,
            status: "alive",
            incarnation: 1,
            address: { host: self.host, port: self.port },
        }));
        const list = this.list();
        for (const { index, self } of this.processes) {
            // The run starts with a group that has formed; joining is measured by the restarts.
            const source = this.processes[(index + 1) % this.processes.length]?.self ?? self;
            const others = updates.filter(({ id }) => id !== self.id);
            const page = {
                kind: "page" as const,
                from: source.id,
                incarnation: 1,
                seq: 0,
                target: "",
                updates: others,
            };
            this.input(index, { kind: "message", message: page, from: source });
            this.input(index, { kind: "candidates", list });
        }
    }

    /** The platform's list of the running processes. */
    list(): Candidate[] {
        return this.processes.filter(({ running }) => running).map(({ self }) => self);
    }

    stop(index: number): void {
        const process = this.processes[index];
        if (process !== undefined) {
            process.running = false;
        }
    }

    /** Starts a stopped process with a new incarnation; it gets the platform's list. */
    restart(index: number): void {
        const bytes = this.processes[index]?.bytes ?? 0;
        this.processes[index] = { ...this.create(index, 2 + Math.floor(this.events.now)), bytes };
        this.input(index, { kind: "candidates", list: this.list() });
    }

    running(): Process[] {
        return this.processes.filter(({ running }) => running);
    }

    /** True when the process runs and this is its incarnation or a later one. */
    isRunning(index: number, incarnation: number): boolean {
        const process = this.processes[index];
        return process?.running === true && incarnation >= process.firstIncarnation;
    }

    incarnationSeenBy(observer: number, member: number): number {
        const id = this.processes[member]?.self.id ?? "";
        return this.processes[observer]?.node.member(id)?.incarnation ?? 0;
    }

    /** Bytes that the processes sent and received since the last call, in all. */
    takeBytes(): number {
        const sum = this.processes.reduce((total, { bytes }) => total + bytes, 0);
        this.processes.forEach(process => process.bytes = 0);
        return sum;
    }

    private create(index: number, incarnation: number): Process {
        const id = `region-${index % 8}-entry-${String(index).padStart(4, "0")}`;
        const self = { id, host: `10.${index % 8}.${index >> 8}.${index & 255}`, port: 7_400, leaving: false };
        this.indexes.set(self.host, index);
        this.indexes.set(id, index);
        const random = new SeededRandom(this.random.nextInt(1 << 30));
        const node = new MembershipNode({ ...self, incarnation }, random, this.events.now, this.settings.options);
        return {
            index,
            self,
            node,
            running: true,
            firstIncarnation: incarnation,
            scheduledAt: Number.POSITIVE_INFINITY,
            bytes: 0,
        };
    }

    private input(index: number, input: MembershipInput): void {
        const process = this.processes[index];
        if (process === undefined || !process.running) {
            return;
        }
        for (const effect of process.node.step(input, this.events.now)) {
            if (effect.kind === "changed") {
                this.onChange(index, this.indexes.get(effect.id) ?? -1, effect.status);
                continue;
            }
            const bytes = this.codec.encode(effect.message).unwrap().byteLength + udpHeaderBytes;
            process.bytes += bytes;
            const target = this.indexes.get(effect.to.host);
            if (target !== undefined && this.random.next() >= this.settings.loss) {
                const { message } = effect;
                this.events.after(this.delay(index, target), () => {
                    const receiver = this.processes[target];
                    if (receiver?.running === true) {
                        receiver.bytes += bytes;
                        this.input(target, { kind: "message", message, from: process.self });
                    }
                });
            }
        }
        this.schedule(process);
    }

    /** One way delay: 0.5 ms within a failure domain, 5 ms within a region, 40 ms between regions, and jitter. */
    private delay(from: number, to: number): number {
        const jitter = -Math.log(1 - this.random.next());
        if (from % 21 === to % 21) {
            return 0.5 + jitter;
        }
        return (this.settings.nodes <= 200 || from % 8 === to % 8 ? 5 : 40) + jitter;
    }

    private schedule(process: Process): void {
        const next = process.node.nextDueAt();
        if (next < process.scheduledAt) {
            process.scheduledAt = next;
            this.events.at(next, () => {
                if (process.scheduledAt === next && this.processes[process.index] === process) {
                    process.scheduledAt = Number.POSITIVE_INFINITY;
                    this.input(process.index, { kind: "tick" });
                }
            });
        }
    }
}
