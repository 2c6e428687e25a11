import type { EntryMember } from "@lentilramp/configuration";
import { MembershipCodec, type MembershipInput, MembershipNode } from "@lentilramp/membership";
import type { ProcessKey } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog, type RandomSource, type Timer } from "@lentilramp/runtime";
import { createSocket, type Socket } from "node:dgram";

/** Instance in the platform's list; its id is that of an entry. */
export interface ListedEntry {
    id: string;
    host: string;
    port: number;
    leaving: boolean;
}

/** Runs the failure detection among entries over UDP, on the same port number as HTTP. */
export class MembershipService extends Component {
    readonly name = "membership";
    private readonly node: MembershipNode;
    private readonly codec: MembershipCodec;
    private readonly socket: Socket;
    private timer: Timer | undefined;
    private bound = false;

    constructor(
        private readonly self: { id: string; host: string; port: number; },
        key: ProcessKey,
        private readonly clock: Clock,
        random: RandomSource,
        private readonly log: EventLog,
    ) {
        super();
        this.node = new MembershipNode({ ...self, incarnation: Math.floor(clock.now()) }, random, clock.now());
        this.codec = new MembershipCodec(key.derive("membership"));
        this.socket = createSocket(self.host.includes(":") ? "udp6" : "udp4");
    }

    /** Whether an entry is usable: false for dead entries and those that have left, true for unknown entries. */
    isUsable(id: string): boolean {
        const status = id === this.self.id ? "alive" : this.node.member(id)?.status;
        return status !== "dead" && status !== "left";
    }

    /** Sets the entries of the configuration as candidates and marks those that the platform lists as leaving. */
    setCandidates(entries: readonly EntryMember[], listed: readonly ListedEntry[] = []): void {
        const leaving = new Set(listed.filter(entry => entry.leaving).map(entry => entry.id));
        this.step({
            kind: "candidates",
            list: entries.map(({ id, host, port }) => ({ id, host, port, leaving: leaving.has(id) })),
        });
    }

    dump(): Record<string, unknown> {
        return this.node.dump();
    }

    override async start(): Promise<void> {
        this.socket.on("message", (datagram, from) => {
            const message = this.codec.decode(datagram);
            if (message.isOk()) {
                this.step({ kind: "message", message: message.value, from: { host: from.address, port: from.port } });
            }
            else {
                this.log.debug("membership.datagram-refused", { peer: from.address, reason: message.error.kind });
            }
        });
        await new Promise<void>((resolve, reject) => {
            this.socket.once("error", reject);
            this.socket.bind(this.self.port, this.self.host, () => {
                this.socket.off("error", reject);
                this.socket.on(
                    "error",
                    (err: unknown) => this.log.warn("membership.socket-failed", { error: String(err) }),
                );
                resolve();
            });
        });
        this.bound = true;
        this.schedule();
    }

    /** Announces to the other entries that this one leaves, so that address lookups no longer return it. */
    override async drain(): Promise<void> {
        this.step({ kind: "leave" });
    }

    override async close(): Promise<void> {
        this.timer?.cancel();
        this.bound = false;
        await new Promise<void>(resolve => this.socket.close(() => resolve()));
    }

    private step(input: MembershipInput): void {
        for (const effect of this.node.step(input, this.clock.now())) {
            if (effect.kind === "changed") {
                this.log.info("membership.changed", {
                    member: effect.id,
                    status: effect.status,
                    previous: effect.previous,
                });
                continue;
            }
            const encoded = this.codec.encode(effect.message);
            // Sending on an unbound socket would bind it to another port.
            if (encoded.isOk() && this.bound) {
                // Send errors are ignored, since the protocol tolerates lost datagrams.
                this.socket.send(encoded.value, effect.to.port, effect.to.host, () => undefined);
            }
        }
        this.schedule();
    }

    private schedule(): void {
        this.timer?.cancel();
        const dueAt = this.node.nextDueAt();
        if (this.bound && Number.isFinite(dueAt)) {
            this.timer = this.clock.schedule(dueAt, () => this.step({ kind: "tick" }));
        }
    }
}
