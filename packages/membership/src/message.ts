import type { Update } from "./member.ts";

interface Common {
    /** Sender and its incarnation. */
    from: string;
    incarnation: number;
    seq: number;
    updates: Update[];
}

/** Messages between membership nodes. `seq` of an answer is that of the request. */
export type Message =
    | Common & { kind: "ping" | "ack" | "nack"; }
    /** Asks the receiver to probe `target`. */
    | Common & { kind: "ping-req"; target: string; }
    /** A joining node asks for the members whose ids follow `target` in order; "" for the first page. */
    | Common & { kind: "pull"; target: string; }
    /** A page of members; `target` is the last id of the page, or "" for the last page. */
    | Common & { kind: "page"; target: string; };

export type MessageKind = Message["kind"];
export const messageKinds = ["ping", "ack", "nack", "ping-req", "pull", "page"] as const;
