import type { Update } from "./member.ts";

interface MessageHeader {
    /** Id of the sender. */
    from: string;
    /** Incarnation of the sender. */
    incarnation: number;
    seq: number;
    updates: Update[];
}

/** Message between membership nodes. An answer has the `seq` of its request. */
export type Message =
    | MessageHeader & { kind: "ping" | "ack" | "nack"; }
    /** Requests that the receiver probes `target`. */
    | MessageHeader & { kind: "ping-req"; target: string; }
    /** Requests the members whose ids follow `target`, when a node joins; "" requests the first page. */
    | MessageHeader & { kind: "pull"; target: string; }
    /** Page of members. `target` is the last id of the page, or "" for the last page. */
    | MessageHeader & { kind: "page"; target: string; };

export type MessageKind = Message["kind"];
export const messageKinds = ["ping", "ack", "nack", "ping-req", "pull", "page"] as const;
