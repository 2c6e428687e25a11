import type { LocalHealth } from "./local-health.ts";
import type { MembershipOptions } from "./options.ts";

interface Probe {
    target: string | undefined;
    seq: number;
    answered: boolean;
    timeoutAt: number;
    endAt: number;
    /** Number of members asked to probe the target, and how many of them said that they got no answer. */
    asked: number;
    nacks: number;
}

/** What the node has to do for its own probe. */
export type ProbeAction =
    /** The target did not answer in time; ask other members to probe it. */
    | { kind: "indirect"; target: string; seq: number; }
    /** No answer came at all. */
    | { kind: "failed"; target: string; }
    /** The interval has ended; start the next probe. */
    | { kind: "next"; };

/** The probe of the current interval. Interval and timeout are lengthened by the local health multiplier. */
export class Prober {
    private probe: Probe;

    constructor(
        private readonly options: MembershipOptions,
        private readonly health: LocalHealth,
        firstAt: number,
    ) {
        this.probe = { target: undefined, seq: 0, answered: true, timeoutAt: 0, endAt: firstAt, asked: 0, nacks: 0 };
    }

    start(target: string | undefined, seq: number, now: number): void {
        const { probeIntervalMs, probeTimeoutMs } = this.options;
        const factor = this.health.multiplier;
        const timeoutAt = now + probeTimeoutMs * factor;
        const endAt = now + probeIntervalMs * factor;
        this.probe = { target, seq, answered: target === undefined, timeoutAt, endAt, asked: 0, nacks: 0 };
    }

    onAck(seq: number): void {
        if (seq === this.probe.seq && !this.probe.answered) {
            this.probe.answered = true;
            this.health.onProbeAnswered();
        }
    }

    onNack(seq: number): void {
        if (seq === this.probe.seq) {
            this.probe.nacks++;
        }
    }

    /** `count` members were asked to probe the target. */
    onAsked(count: number): void {
        this.probe.asked = count;
    }

    step(now: number): ProbeAction[] {
        const { probe } = this;
        const { target, seq } = probe;
        if (now >= probe.endAt) {
            if (probe.answered || target === undefined) {
                return [{ kind: "next" }];
            }
            this.health.onProbeFailed(Math.max(0, probe.asked - probe.nacks));
            return [{ kind: "failed", target }, { kind: "next" }];
        }
        if (now >= probe.timeoutAt && !probe.answered && target !== undefined) {
            probe.timeoutAt = probe.endAt;
            return [{ kind: "indirect", target, seq }];
        }
        return [];
    }

    nextInstant(): number {
        return this.probe.answered ? this.probe.endAt : Math.min(this.probe.timeoutAt, this.probe.endAt);
    }
}
