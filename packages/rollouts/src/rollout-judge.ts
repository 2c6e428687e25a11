import { lastStep, type Rollout } from "./rollout-book.ts";
import type { RolloutOptions } from "./rollout-options.ts";
import type { RolloutReports } from "./rollout-reports.ts";
import type { BadVersion } from "./version-evidence.ts";

/** Share of new requests at each step; that of the first, the canary, is the largest one that its budget may give. */
const stepShares = [0.25, 0.25, 0.5, 1];
/** Parts of the time limit until which the canary lasts, and for which the next two steps last. */
const canaryPart = 0.55;
const stepParts = [0, 0.04, 0.04];
/** Shortest duration of a step, in milliseconds, so that its responses are reported. */
const minStepMs = 1_000;
/**
 * Shortest time without contact after which the end does not wait for an ingress, in milliseconds. Until shortly before,
 * the ingress goes on at other versions: that covers an election and the first syncs with the new leader, so that the
 * loss of a leader leads to no refusals.
 */
export const minLossMs = 5_000;
/** Time by which an ingress leaves the other versions earlier, in milliseconds, so that its last requests there end. */
const leaveMs = 1_000;
/** Shortest time from the end of the canary until a roll-out that has other versions is completed, in milliseconds. */
export const canaryToEndMs = (lastStep - 1) * minStepMs;
/**
 * Parts of the exposure budget that the canary may use. The two steps in between use 0.3 of the default budget by their
 * shares and durations. The rest is for what a version gets from the instant at which it becomes bad until the verdict.
 */
const canaryBudgetPart = 0.55;
const canarySlackPart = 0.3;
/** Part of the slack within which no evidence is needed: the service has too few requests to bring any. */
const unprovenSlackPart = 0.8;
/** Responses of the target that a step needs, by the part of the time limit from which fewer are enough. */
const neededResponses = [
    { from: 0, responses: 20 },
    { from: 0.7, responses: 8 },
    { from: 0.85, responses: 1 },
];
/** Part of the time limit from which a service that has had no request lately needs no evidence: none would come. */
const quietPart = 0.85;
/** Part of the other versions' slots that the target must have for all requests; sound fleets differ by a few replicas. */
const neededSlotsPart = 0.9;
/** Slots for each request in flight with which fewer replicas than before are enough. */
const slotsPerRequest = 1.5;
/**
 * At the last step there is no other version to compare with. When the target seems bad there, it gets a smaller share
 * for this time, in milliseconds, which shows whether it is; a fault or load may have changed both versions.
 */
const doubtMs = 3_000;
const doubtShare = 0.25;
/** Number of such times after which the target counts as bad: it seems so with all requests only. */
const maxDoubts = 2;
/**
 * Time in milliseconds after which a suspicion does not hold the last step up: with no other version to compare with,
 * nothing would clear it until its responses are forgotten. The verdict goes on to watch all responses.
 */
const lastSuspicionMs = 3_000;
/** What the leader knows of a service at an instant. */
export interface RolloutSituation {
    /** Instant by the steady clock. */
    now: number;
    /** Time since the order, in milliseconds by the fleet's clock. */
    elapsedMs: number;
    /** Slots of the ready endpoints of the target, and of other versions that may get requests. */
    targetSlots: number;
    otherSlots: number;
    /** Requests in flight at the service. */
    running: number;
    /** Time from a change of the share until it shows in the responses, in milliseconds; see `settleMs`. */
    settleMs: number;
    /** Which of the ingresses in contact have reported the roll-out to this leader. */
    heard: "none" | "some" | "all";
    /** Time without contact after which the end does not wait for an ingress, in milliseconds. */
    lossMs: number;
    drained: "no" | "idle" | "closed";
}

/** What the leader decides on a roll-out. */
export interface RolloutDecision {
    /** Share of new requests that may go to the target. */
    share: number;
    /** Whether nothing may be sent to other versions, streams that are resumed included. */
    closed: boolean;
    /** Time for which an ingress that loses contact may send to other versions, in milliseconds. */
    othersMs: number;
    /** The step to record before its share is handed out. */
    step?: number;
    end?: "completed" | "rolled_back";
    bad?: BadVersion;
}

/** Decides on the steps and the end of one roll-out, at the leader. */
export class RolloutJudge {
    private step: number;
    /** Instant at which this leader first gave requests to the target at the present step. */
    private stepStartedAt: number | undefined;
    private closing = false;
    /** The evidence of the verdict, which holds until it is recorded. */
    private bad: BadVersion | undefined;
    /** Whether the end has been decided, which may be committed although this leader is told that it was not. */
    private isDone = false;
    private doubtUntil = -Infinity;
    private doubts = 0;
    /** Instant until which all new requests have gone to the target. */
    private aloneUntil = -Infinity;

    constructor(
        private readonly rollout: Pick<Rollout, "orderedAt" | "deadline" | "previous" | "step">,
        private readonly options: RolloutOptions,
        private readonly reports: RolloutReports,
    ) {
        this.step = rollout.step;
    }

    /** Takes note of a step that has been recorded. */
    recordStep(step: number, now: number): void {
        this.step = step;
        this.stepStartedAt = now;
    }

    decide(situation: RolloutSituation): RolloutDecision {
        const othersMs = this.othersMs(situation);
        if (this.isDone) {
            return { share: 1, closed: true, othersMs, end: "completed" };
        }
        const wasClosing = this.closing;
        const decision = { ...this.judge(situation), othersMs };
        if (decision.share < 1) {
            this.closing = false;
            this.reports.forgetPositions();
        }
        else if (!wasClosing) {
            // What was reported as closed before may have been opened since, by a smaller share.
            this.reports.forgetClosed();
        }
        this.isDone = decision.end === "completed";
        return decision;
    }

    private judge(situation: RolloutSituation): Omit<RolloutDecision, "othersMs"> {
        const { now, targetSlots, settleMs } = situation;
        const { evidence } = this.reports;
        if (now <= this.aloneUntil + settleMs) {
            evidence.markAlone(now);
        }
        const found = evidence.findBad(now, this.doubtUntil);
        if (found?.isConcurrent === false && this.doubts < maxDoubts) {
            this.recordDoubt(situation);
        }
        else {
            this.bad ??= found;
        }
        if (this.bad !== undefined) {
            return { share: 0, closed: false, end: "rolled_back", bad: this.bad };
        }
        if (targetSlots === 0) {
            return { share: 0, closed: false };
        }
        this.stepStartedAt ??= now;
        if (this.rollout.previous.length === 0 && situation.otherSlots === 0) {
            return this.decideAlone(situation);
        }
        const limit = Math.min(capacityShare(situation), now < this.doubtUntil ? doubtShare : 1);
        const share = Math.min(this.stepShare(situation), limit);
        const suspectSince = Math.max(this.stepStartedAt, this.step < lastStep ? -Infinity : now - lastSuspicionMs);
        const isProven = (): boolean => this.hasEvidence(situation) && !evidence.isSuspect(now, suspectSince);
        if (this.step < lastStep) {
            const mayAdvance = this.isDue(situation) && limit >= (stepShares[this.step + 1] ?? 1) && isProven();
            return { share, closed: false, step: mayAdvance ? this.step + 1 : undefined };
        }
        this.aloneUntil = share >= 1 ? now : this.aloneUntil;
        const wasClosing = this.closing;
        this.closing = share >= 1 && (wasClosing || situation.drained !== "no" && isProven());
        const isDone = wasClosing && this.closing && situation.drained === "closed";
        return { share, closed: this.closing, end: isDone ? "completed" : undefined };
    }

    /** Lowers the share for some time, after which the responses that led to the doubt do not count again. */
    private recordDoubt({ now }: RolloutSituation): void {
        if (now >= this.doubtUntil) {
            this.doubts++;
            this.doubtUntil = now + doubtMs;
        }
    }

    /** Decides where no other version served at the time of the order, so that there is nothing to compare with. */
    private decideAlone({ drained }: RolloutSituation): Omit<RolloutDecision, "othersMs"> {
        const wasClosing = this.closing;
        this.closing = true;
        return { share: 1, closed: true, end: wasClosing && drained === "closed" ? "completed" : undefined };
    }

    /**
     * Returns the time for which an ingress without contact may use other versions: until the end stops waiting for it,
     * or until the steps can have been taken that are left after the canary, whichever is later.
     */
    private othersMs({ elapsedMs, lossMs }: RolloutSituation): number {
        if (this.step > 0) {
            return lossMs - leaveMs;
        }
        const stepsMs = stepParts.slice(1).reduce((sum, part) => sum + Math.max(minStepMs, this.limitMs * part), 0);
        return Math.max(lossMs, this.limitMs * canaryPart - elapsedMs + stepsMs) - leaveMs;
    }

    private get limitMs(): number {
        return Math.max(1, this.rollout.deadline - this.rollout.orderedAt);
    }

    /** Returns the lowest estimate of the requests that reach the service in a millisecond. */
    private arrivalsPerMs({ now, elapsedMs }: RolloutSituation): number {
        return Math.min(this.reports.arrivalsPerMs(now), this.reports.arrived / Math.max(1, elapsedMs));
    }

    /** Returns the highest estimate of the requests that come in a millisecond, and may be sent to the target. */
    private askedPerMs({ now, elapsedMs }: RolloutSituation): number {
        return Math.max(this.reports.askedPerMs(now), this.reports.asked / Math.max(1, elapsedMs));
    }

    /**
     * Returns the part of the requests that are served at present. In an overload the target has free slots for its
     * share of all requests, while others are refused.
     */
    private servedPart({ now }: RolloutSituation): number {
        const asked = this.reports.askedPerMs(now);
        return asked === 0 ? 1 : Math.min(1, this.reports.arrivalsPerMs(now) / asked);
    }

    private stepShare(situation: RolloutSituation): number {
        const nominal = stepShares[this.step] ?? 1;
        if (this.step === lastStep) {
            return nominal;
        }
        if (this.step > 0) {
            return nominal * this.servedPart(situation);
        }
        const { exposureShare, exposureSlack } = this.options;
        const { elapsedMs } = situation;
        const expected = this.reports.arrived + this.arrivalsPerMs(situation) * Math.max(0, this.limitMs - elapsedMs);
        const budget = exposureShare * canaryBudgetPart * expected + exposureSlack * canarySlackPart;
        const leftMs = Math.max(minStepMs, this.limitMs * canaryPart - elapsedMs);
        const share = (budget - this.reports.exposed) / Math.max(1, this.askedPerMs(situation) * leftMs);
        return Math.max(0, Math.min(nominal, share));
    }

    private isDue({ now, elapsedMs }: RolloutSituation): boolean {
        const lasted = now - (this.stepStartedAt ?? now);
        return this.step === 0
            ? elapsedMs >= this.limitMs * canaryPart && lasted >= minStepMs
            : lasted >= Math.max(minStepMs, this.limitMs * (stepParts[this.step] ?? 0));
    }

    /** Whether the target has given enough responses at this step, none of which show that it is bad. */
    private hasEvidence(situation: RolloutSituation): boolean {
        const { elapsedMs, now, settleMs, heard } = situation;
        const startedAt = this.stepStartedAt ?? now;
        if (heard === "none" || now - startedAt < settleMs) {
            return false;
        }
        if (this.reports.targetResponses(startedAt) >= this.neededResponses(situation)) {
            return true;
        }
        // Ingresses that have not reported may have many requests.
        if (heard !== "all") {
            return false;
        }
        const part = elapsedMs / this.limitMs;
        if (part >= quietPart && this.reports.askedPerMs(now) === 0) {
            return true;
        }
        const expected = this.reports.exposed
            + this.askedPerMs(situation) * Math.max(0, this.limitMs - elapsedMs);
        return expected <= this.options.exposureSlack * unprovenSlackPart;
    }

    private neededResponses({ elapsedMs }: RolloutSituation): number {
        const part = elapsedMs / this.limitMs;
        return neededResponses.findLast(({ from }) => part >= from)?.responses ?? 0;
    }
}

/** Returns the share of the requests for which the target has enough slots. */
function capacityShare({ targetSlots, otherSlots, running }: RolloutSituation): number {
    const byReplicas = otherSlots === 0 ? 1 : targetSlots / (otherSlots * neededSlotsPart);
    const byLoad = targetSlots / Math.max(1, running * slotsPerRequest);
    return Math.min(1, Math.max(byReplicas, byLoad));
}
