import type { Membership, Message, NodeId } from "@lentilramp/agreement";
import type { RpcClient } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import { z } from "zod";
import type { AgreementTransport } from "./agreement-driver.ts";
import { addressOf, type MemberAddress } from "./member-address.ts";

/** A message that has not arrived by then is useless, since heartbeats come each 100 ms. */
const messageLifetimeMs = 300;
/** Calls in flight to one member; a second one keeps heartbeats going while the first waits on a silent connection. */
const maxCallsPerMember = 4;
const maxQueuedMessages = 256;

interface Outbox {
    address: MemberAddress;
    queued: Message[];
    calls: number;
}

/** Sends agreement messages by JSON-RPC; messages that wait while calls are in flight are sent as one batch. */
export class RpcTransport implements AgreementTransport {
    private readonly outboxes = new Map<NodeId, Outbox>();
    private readonly learnt = new Map<NodeId, MemberAddress>();

    constructor(
        private readonly own: MemberAddress,
        private readonly client: RpcClient,
        private readonly clock: Clock,
    ) {}

    /** Takes the address of a sender. A joining member knows no membership yet and could not reply otherwise. */
    recordAddress(id: NodeId, address: MemberAddress): void {
        this.learnt.set(id, address);
    }

    send(message: Message, membership: Membership): void {
        const address = addressOf(membership, message.to) ?? this.learnt.get(message.to);
        if (address === undefined) {
            return;
        }
        const outbox = this.outboxes.get(message.to) ?? { address, queued: [], calls: 0 };
        outbox.address = address;
        this.outboxes.set(message.to, outbox);
        outbox.queued.push(message);
        if (outbox.queued.length > maxQueuedMessages) {
            outbox.queued.shift();
        }
        this.flush(outbox);
    }

    private flush(outbox: Outbox): void {
        if (outbox.calls >= maxCallsPerMember || outbox.queued.length === 0) {
            return;
        }
        const messages = outbox.queued;
        outbox.queued = [];
        outbox.calls++;
        const deadline = this.clock.now() + messageLifetimeMs;
        this.client.call(outbox.address, "agreement.step", { sender: this.own, messages }, z.unknown(), deadline)
            .catch(() => undefined)
            .finally(() => {
                outbox.calls--;
                this.flush(outbox);
            });
    }
}
