import {
    type Candidate,
    MembershipCodec,
    type MembershipInput,
    MembershipNode,
    type MembershipOptionsInput,
} from "@lentilramp/membership";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

interface Process {
    id: string;
    port: number;
    node: MembershipNode;
    running: boolean;
}

/** Simulated network of nodes, with delay and packet loss. Each datagram is encoded and decoded. */
export class MembershipNetwork {
    now = 1_000;
    lossRate = 0;
    /** Whether datagrams between two ids are dropped. */
    isBlocked: (from: string, to: string) => boolean = () => false;
    readonly processes = new Map<string, Process>();
    /** Status changes in the form `observer sees member status`. */
    readonly changes: string[] = [];
    readonly random;
    private readonly codec = new MembershipCodec(Buffer.from("test key"));
    private inFlight: { at: number; from: number; to: number; bytes: Uint8Array; }[] = [];

    constructor(seed: number, private readonly options: MembershipOptionsInput = {}) {
        this.random = new SeededRandom(seed);
    }

    get instanceList(): Candidate[] {
        return [...this.processes.values()].map(({ id, port }) => ({ id, host: "127.0.0.1", port, leaving: false }));
    }

    /** Starts a process, or restarts it with a new incarnation. */
    start(id: string, incarnation = this.now): MembershipNode {
        const port = this.processes.get(id)?.port ?? 9_000 + this.processes.size;
        const self = { id, host: "127.0.0.1", port, incarnation };
        const random = new SeededRandom(this.random.nextInt(1 << 30));
        const node = new MembershipNode(self, random, this.now, this.options);
        this.processes.set(id, { id, port, node, running: true });
        return node;
    }

    startAll(count: number): void {
        for (let i = 0; i < count; i++) {
            this.start(`n${i}`);
        }
        this.publishList();
        this.run(15_000);
    }

    publishList(): void {
        this.running().forEach(process => this.input(process.id, { kind: "candidates", list: this.instanceList }));
    }

    stop(id: string): void {
        this.processes.get(id)!.running = false;
    }

    node(id: string): MembershipNode {
        return this.processes.get(id)!.node;
    }

    running(): Process[] {
        return [...this.processes.values()].filter(({ running }) => running);
    }

    input(id: string, input: MembershipInput): void {
        const { node, port } = this.processes.get(id)!;
        for (const effect of node.step(input, this.now)) {
            if (effect.kind === "changed") {
                this.changes.push(`${id} sees ${effect.id} ${effect.status}`);
                continue;
            }
            const bytes = this.codec.encode(effect.message).unwrap();
            expect(bytes.byteLength).to.be.below(1_200);
            const target = [...this.processes.values()].find(process => process.port === effect.to.port);
            if (this.random.next() >= this.lossRate && target !== undefined && !this.isBlocked(id, target.id)) {
                const at = this.now + 1 + this.random.nextInt(10);
                this.inFlight.push({ at, from: port, to: effect.to.port, bytes });
            }
        }
    }

    run(durationMs: number): void {
        const end = this.now + durationMs;
        for (;;) {
            const timers = this.running().map(({ node }) => node.nextDueAt());
            const next = Math.min(...timers, ...this.inFlight.map(({ at }) => at));
            if (next > end) {
                break;
            }
            this.now = Math.max(this.now, next);
            const due = this.inFlight.filter(({ at }) => at <= this.now);
            this.inFlight = this.inFlight.filter(({ at }) => at > this.now);
            for (const { from, to, bytes } of due) {
                const target = this.running().find(({ port }) => port === to);
                if (target !== undefined) {
                    const message = this.codec.decode(bytes).unwrap();
                    this.input(target.id, { kind: "message", message, from: { host: "127.0.0.1", port: from } });
                }
            }
            this.running().filter(({ node }) => node.nextDueAt() <= this.now)
                .forEach(({ id }) => this.input(id, { kind: "tick" }));
        }
        this.now = end;
    }

    /** Returns the sorted ids of the members that are live according to a node. */
    liveIds(id: string): string[] {
        return this.node(id).liveMembers().map(member => member.id).sort();
    }
}
