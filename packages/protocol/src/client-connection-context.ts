import type { Clock } from "@lentilramp/runtime";
import type { ClientLimits } from "./client-limits.ts";
import type { MemoryAccount } from "./memory-account.ts";
import type { TurnQueue } from "./turn-queue.ts";

/** What the connections of a process share. */
export interface ClientConnectionContext {
    account: MemoryAccount;
    limits: ClientLimits;
    clock: Clock;
    turns: TurnQueue;
    /** Told when a bound has taken effect. */
    onLimit(bound: ClientBound): void;
}

/** Name of a bound in the metric and the log. */
export type ClientBound =
    | "memory-waited"
    | "memory-refused"
    | "memory-closed"
    | "body-slow"
    | "pipelined"
    | "unread-answers"
    | "connections-closed"
    | "connections-refused";
