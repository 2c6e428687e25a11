import type { EntryMember } from "@lentilramp/configuration";
import { MembershipCodec, type MembershipInput, MembershipNode } from "@lentilramp/membership";
import type { ProcessKey } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog, type RandomSource, type Timer } from "@lentilramp/runtime";
import { createSocket, type Socket } from "node:dgram";

/** Instances that the platform lists, by entry id. */
export interface ListedEntry {
    id: string;
    host: string;
    port: number;
    leaving: boolean;
}

/** Failure detection among entries over UDP, on the same port number as HTTP. */
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

    /** True unless the entry is known to be dead or to have left. Unknown entries count as usable. */
    isUsable(id: string): boolean {
        const status = id === this.self.id ? "alive" : this.node.member(id)?.status;
        return status !== "dead" && status !== "left";
    }

    /** Takes the entries of the configuration and of the platform's list; those named leaving are not used. */
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

    /** Tells the others that this entry leaves, so that lookups stop naming it. */
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
            // An unbound socket would be bound to another port by its first datagram.
            if (encoded.isOk() && this.bound) {
                // A datagram that cannot be sent is like a lost one.
                this.socket.send(encoded.value, effect.to.port, effect.to.host, () => undefined);
            }
        }
        this.schedule();
    }

    private schedule(): void {
        this.timer?.cancel();
        const next = this.node.nextDueAt();
        if (this.bound && Number.isFinite(next)) {
            this.timer = this.clock.schedule(next, () => this.step({ kind: "tick" }));
        }
    }
}
