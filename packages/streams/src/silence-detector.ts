import type { ProbeAnswer } from "./classify-probe-answer.ts";
import { classifyProbeAnswer } from "./classify-probe-answer.ts";
import type { SilenceOptions } from "./silence-options.ts";
import { silenceOptions } from "./silence-options.ts";

export type DeadReason = "behind" | "lost" | "probe-timeout";

export type SilenceAction =
    /** Probe the progress of the request on a new connection, and report the answer with the number `probe`. */
    | { kind: "probe"; connection: string; endpoint: string; probe: number; deadline: number; }
    /** Close the connection and continue the request on another endpoint. */
    | { kind: "dead"; connection: string; endpoint: string; reason: DeadReason; }
    /** Close the pooled idle connections to the endpoint. */
    | { kind: "retire-idle"; endpoint: string; };

/**
 * State of a watched connection.
 * - `active`: bytes arrive.
 * - `probing`: the answer to a probe is awaited.
 * - `confirming`: tokens are missing, but may still arrive within the confirmation time.
 * - `slow`: the answer to a probe showed that no tokens are missing.
 */
export type ConnectionState = "active" | "probing" | "confirming" | "slow";

interface WatchedConnection {
    readonly id: string;
    readonly endpoint: string;
    readonly isStreamed: boolean;
    state: ConnectionState;
    receivedTokens: number;
    /** Number of the newest probe. */
    probe: number;
    probeDeadline: number;
    /** Instant of the next transition if neither a byte nor an answer to a probe arrives. */
    dueAt: number;
}

/**
 * Detects connections that are open but deliver nothing. The caller reports received bytes and answers to probes, and
 * calls `poll` at `nextDueAt` at the latest.
 */
export class SilenceDetector {
    private readonly options: SilenceOptions;
    private readonly connections = new Map<string, WatchedConnection>();
    private lastProbe = 0;

    constructor(options: Partial<SilenceOptions> = {}) {
        this.options = silenceOptions.parse(options);
    }

    /** Starts watching a connection; `isStreamed` is false for an answer sent in one piece. */
    watch(id: string, endpoint: string, now: number, isStreamed = true): void {
        const dueAt = now + this.options.silenceMs;
        this.connections.set(id, {
            id,
            endpoint,
            isStreamed,
            state: "active",
            receivedTokens: 0,
            probe: 0,
            probeDeadline: 0,
            dueAt,
        });
    }

    unwatch(id: string): void {
        this.connections.delete(id);
    }

    stateOf(id: string): ConnectionState | undefined {
        return this.connections.get(id)?.state;
    }

    /** Reports bytes from a connection; `receivedTokens` is the offset after the newest token. */
    onBytes(id: string, receivedTokens: number, now: number): void {
        const connection = this.connections.get(id);
        if (connection !== undefined) {
            connection.state = "active";
            connection.receivedTokens = receivedTokens;
            connection.dueAt = now + this.options.silenceMs;
        }
    }

    /** Reports the answer to a probe. An answer to an earlier probe, or after bytes have arrived, is ignored. */
    onProbeAnswer(id: string, probe: number, answer: ProbeAnswer, now: number): SilenceAction[] {
        const connection = this.connections.get(id);
        if (connection?.state !== "probing" || connection.probe !== probe) {
            return [];
        }
        switch (classifyProbeAnswer(answer, connection.receivedTokens, connection.isStreamed)) {
            case "slow":
                connection.state = "slow";
                connection.dueAt = now + this.options.silenceMs;
                return [];
            case "behind":
                connection.state = "confirming";
                connection.dueAt = Math.min(connection.probeDeadline, now + this.options.confirmMs);
                return [];
            case "lost":
                return this.declareDead(connection, "lost", now);
        }
    }

    /** Returns the instant of the next transition, or undefined if no connection is watched. */
    nextDueAt(): number | undefined {
        let next: number | undefined;
        for (const { dueAt } of this.connections.values()) {
            next = Math.min(next ?? dueAt, dueAt);
        }
        return next;
    }

    /** Makes the transitions that are due and returns the resulting actions. */
    poll(now: number): SilenceAction[] {
        const actions: SilenceAction[] = [];
        for (const connection of [...this.connections.values()]) {
            if (!this.connections.has(connection.id) || connection.dueAt > now) {
                continue;
            }
            switch (connection.state) {
                case "active":
                case "slow":
                    actions.push(this.startProbe(connection, now));
                    break;
                case "probing":
                    actions.push(...this.declareDead(connection, "probe-timeout", now));
                    break;
                case "confirming":
                    actions.push(...this.declareDead(connection, "behind", now));
                    break;
            }
        }
        return actions;
    }

    private startProbe(connection: WatchedConnection, now: number): SilenceAction {
        connection.state = "probing";
        connection.probe = ++this.lastProbe;
        connection.probeDeadline = now + this.options.probeTimeoutMs;
        connection.dueAt = connection.probeDeadline;
        const { id, endpoint, probe, probeDeadline } = connection;
        return { kind: "probe", connection: id, endpoint, probe, deadline: probeDeadline };
    }

    /** Declares a connection dead and immediately probes the other connections to its endpoint, which are suspect. */
    private declareDead(connection: WatchedConnection, reason: DeadReason, now: number): SilenceAction[] {
        this.connections.delete(connection.id);
        const { endpoint } = connection;
        const siblings = [...this.connections.values()].filter(other =>
            other.endpoint === endpoint && (other.state === "active" || other.state === "slow")
        );
        return [
            { kind: "dead", connection: connection.id, endpoint, reason },
            { kind: "retire-idle", endpoint },
            ...siblings.map(sibling => this.startProbe(sibling, now)),
        ];
    }
}
