import { defaultAgreementOptions, entryChars, type Membership, type Message, type NodeId } from "@lentilramp/agreement";
import type { RpcClient } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import { z } from "zod";
import type { AgreementTransport } from "./agreement-driver.ts";
import { addressOf, type MemberAddress } from "./member-address.ts";

/** Call timeout of small messages. One that is delayed longer is obsolete, since a heartbeat is sent every 100 ms. */
const messageTimeoutMs = 300;
/** Maximum number of calls in flight to a member; others carry heartbeats while one waits on a silent connection. */
const maxCallsPerMember = 4;
const maxQueuedMessages = 256;

interface SendQueue {
    address: MemberAddress;
    messages: Message[];
    callsInFlight: number;
}

/** Sends agreement messages by JSON-RPC. Messages that are queued while calls are in flight form one batch. */
export class RpcTransport implements AgreementTransport {
    private readonly sendQueues = new Map<NodeId, SendQueue>();
    private readonly senderAddresses = new Map<NodeId, MemberAddress>();

    constructor(
        private readonly selfAddress: MemberAddress,
        private readonly client: RpcClient,
        private readonly clock: Clock,
        /** Characters of commands or snapshots that a member receives in a millisecond. */
        private readonly charsPerMs = defaultAgreementOptions.transferCharsPerMs,
    ) {}

    /** Records the address of a sender, since a joining member has no membership yet to look up where to reply. */
    recordAddress(id: NodeId, address: MemberAddress): void {
        this.senderAddresses.set(id, address);
    }

    send(message: Message, membership: Membership): void {
        const address = addressOf(membership, message.to) ?? this.senderAddresses.get(message.to);
        if (address === undefined) {
            return;
        }
        const sendQueue = this.sendQueues.get(message.to) ?? { address, messages: [], callsInFlight: 0 };
        sendQueue.address = address;
        this.sendQueues.set(message.to, sendQueue);
        sendQueue.messages.push(message);
        if (sendQueue.messages.length > maxQueuedMessages) {
            sendQueue.messages.shift();
        }
        this.flush(sendQueue);
    }

    private flush(sendQueue: SendQueue): void {
        if (sendQueue.callsInFlight >= maxCallsPerMember || sendQueue.messages.length === 0) {
            return;
        }
        const messages = sendQueue.messages;
        sendQueue.messages = [];
        sendQueue.callsInFlight++;
        const chars = messages.reduce((sum, message) => sum + contentChars(message), 0);
        const deadline = this.clock.now() + messageTimeoutMs + chars / this.charsPerMs;
        this.client.call(
            sendQueue.address,
            "agreement.step",
            { sender: this.selfAddress, messages },
            z.unknown(),
            deadline,
        )
            .catch(() => undefined)
            .finally(() => {
                sendQueue.callsInFlight--;
                this.flush(sendQueue);
            });
    }
}

/** Returns the number of characters of a message that can be large. */
function contentChars(message: Message): number {
    switch (message.type) {
        case "append":
            return message.entries.reduce((sum, entry) => sum + entryChars(entry), 0);
        case "snapshot":
            return message.snapshot.state.length;
        default:
            return 0;
    }
}
