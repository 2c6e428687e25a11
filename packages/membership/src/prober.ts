import type { LocalHealth } from "./local-health.ts";
import type { MembershipOptions } from "./options.ts";

interface Probe {
    target: string | undefined;
    seq: number;
    answered: boolean;
    timeoutAt: number;
    endsAt: number;
    /** Number of helpers that were asked to probe the target. */
    helperCount: number;
    /** Number of helpers that sent a nack, since they got no answer from the target. */
    nackCount: number;
}

/** Action that the node must take for the current probe. */
export type ProbeAction =
    /** Ask other members to probe the target, which did not answer before the timeout. */
    | { kind: "indirect"; target: string; seq: number; }
    /** Suspect the target, since neither it nor a helper answered. */
    | { kind: "failed"; target: string; }
    /** Start the next probe, since the probe interval has ended. */
    | { kind: "next"; };

/** State of the probe in the current probe interval. The local health multiplier lengthens interval and timeout. */
export class Prober {
    private probe: Probe;

    constructor(
        private readonly options: MembershipOptions,
        private readonly health: LocalHealth,
        firstProbeAt: number,
    ) {
        this.probe = {
            target: undefined,
            seq: 0,
            answered: true,
            timeoutAt: 0,
            endsAt: firstProbeAt,
            helperCount: 0,
            nackCount: 0,
        };
    }

    start(target: string | undefined, seq: number, now: number): void {
        const { probeIntervalMs, probeTimeoutMs } = this.options;
        const factor = this.health.multiplier;
        const timeoutAt = now + probeTimeoutMs * factor;
        const endsAt = now + probeIntervalMs * factor;
        this.probe = { target, seq, answered: target === undefined, timeoutAt, endsAt, helperCount: 0, nackCount: 0 };
    }

    onAck(seq: number): void {
        if (seq === this.probe.seq && !this.probe.answered) {
            this.probe.answered = true;
            this.health.onProbeAnswered();
        }
    }

    onNack(seq: number): void {
        if (seq === this.probe.seq) {
            this.probe.nackCount++;
        }
    }

    /** Records that `count` helpers were asked to probe the target. */
    onHelpersAsked(count: number): void {
        this.probe.helperCount = count;
    }

    step(now: number): ProbeAction[] {
        const { probe } = this;
        const { target, seq } = probe;
        if (now >= probe.endsAt) {
            if (probe.answered || target === undefined) {
                return [{ kind: "next" }];
            }
            this.health.onProbeFailed(Math.max(0, probe.helperCount - probe.nackCount));
            return [{ kind: "failed", target }, { kind: "next" }];
        }
        if (now >= probe.timeoutAt && !probe.answered && target !== undefined) {
            probe.timeoutAt = probe.endsAt;
            return [{ kind: "indirect", target, seq }];
        }
        return [];
    }

    nextDueAt(): number {
        return this.probe.answered ? this.probe.endsAt : Math.min(this.probe.timeoutAt, this.probe.endsAt);
    }
}
