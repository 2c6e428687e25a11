import type { ProbeAnswer } from "./classify-probe-answer.ts";
import { classifyProbeAnswer } from "./classify-probe-answer.ts";
import type { SilenceOptions } from "./silence-options.ts";
import { silenceOptions } from "./silence-options.ts";

export type DeadReason = "behind" | "lost" | "probe-timeout";

export type SilenceAction =
    /** Ask the endpoint on a new connection how far the request is, and report the answer with `probe`. */
    | { kind: "probe"; connection: string; endpoint: string; probe: number; deadline: number; }
    /** Close the connection and continue the work elsewhere. */
    | { kind: "dead"; connection: string; endpoint: string; reason: DeadReason; }
    /** Close the pooled idle connections to the endpoint. */
    | { kind: "retire-idle"; endpoint: string; };

/** `active`: bytes arrive. `probing`: asked. `confirming`: behind, verdict pending. `slow`: asked, nothing missing. */
export type ConnectionState = "active" | "probing" | "confirming" | "slow";

interface Watched {
    readonly id: string;
    readonly endpoint: string;
    readonly streamed: boolean;
    state: ConnectionState;
    received: number;
    /** Number of the newest probe. */
    probe: number;
    probeDeadline: number;
    /** Instant of the next transition without a byte or an answer. */
    dueAt: number;
}

/**
 * Finds connections that are open but deliver nothing. The caller reports bytes and probe answers, and calls `poll`
 * at `nextDueAt` at the latest.
 */
export class SilenceDetector {
    private readonly options: SilenceOptions;
    private readonly watched = new Map<string, Watched>();
    private lastProbe = 0;

    constructor(options: Partial<SilenceOptions> = {}) {
        this.options = silenceOptions.parse(options);
    }

    /** Starts to watch a connection; `streamed` is false for an answer that comes in one piece. */
    watch(id: string, endpoint: string, now: number, streamed = true): void {
        const dueAt = now + this.options.silenceMs;
        this.watched.set(id, {
            id,
            endpoint,
            streamed,
            state: "active",
            received: 0,
            probe: 0,
            probeDeadline: 0,
            dueAt,
        });
    }

    unwatch(id: string): void {
        this.watched.delete(id);
    }

    stateOf(id: string): ConnectionState | undefined {
        return this.watched.get(id)?.state;
    }

    /** Reports bytes from a connection; `received` is the offset after the newest token. */
    onBytes(id: string, received: number, now: number): void {
        const connection = this.watched.get(id);
        if (connection !== undefined) {
            connection.state = "active";
            connection.received = received;
            connection.dueAt = now + this.options.silenceMs;
        }
    }

    /** Reports the answer to a probe. An answer to an earlier probe, or after bytes have arrived, is ignored. */
    onProbeAnswer(id: string, probe: number, answer: ProbeAnswer, now: number): SilenceAction[] {
        const connection = this.watched.get(id);
        if (connection?.state !== "probing" || connection.probe !== probe) {
            return [];
        }
        switch (classifyProbeAnswer(answer, connection.received, connection.streamed)) {
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

    /** Instant of the next transition, or undefined when nothing is watched. */
    nextDueAt(): number | undefined {
        let next: number | undefined;
        for (const { dueAt } of this.watched.values()) {
            next = Math.min(next ?? dueAt, dueAt);
        }
        return next;
    }

    /** Carries out the transitions that are due. */
    poll(now: number): SilenceAction[] {
        const actions: SilenceAction[] = [];
        for (const connection of [...this.watched.values()]) {
            if (!this.watched.has(connection.id) || connection.dueAt > now) {
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

    private startProbe(connection: Watched, now: number): SilenceAction {
        connection.state = "probing";
        connection.probe = ++this.lastProbe;
        connection.probeDeadline = now + this.options.probeTimeoutMs;
        connection.dueAt = connection.probeDeadline;
        const { id, endpoint, probe, probeDeadline } = connection;
        return { kind: "probe", connection: id, endpoint, probe, deadline: probeDeadline };
    }

    /** A dead connection makes the other connections to the same endpoint suspect: they are probed at once. */
    private declareDead(connection: Watched, reason: DeadReason, now: number): SilenceAction[] {
        this.watched.delete(connection.id);
        const { endpoint } = connection;
        const siblings = [...this.watched.values()].filter(other =>
            other.endpoint === endpoint && (other.state === "active" || other.state === "slow")
        );
        return [
            { kind: "dead", connection: connection.id, endpoint, reason },
            { kind: "retire-idle", endpoint },
            ...siblings.map(sibling => this.startProbe(sibling, now)),
        ];
    }
}
