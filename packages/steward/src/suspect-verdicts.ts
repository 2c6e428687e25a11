import { type BlockedPart, isRequestKey, syncIntervalMs } from "@lentilramp/fleet";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { errorMessage, type StewardCore } from "./steward-core.ts";
import { maxBlockedParts } from "./steward-state.ts";

const checkIntervalMs = 100;
/** Time after the last refusal for a blocked suspect until its verdict lapses, in milliseconds. */
const lapseMs = 600_000;
/**
 * Syncs that pass from a crash until every ingress has heard of the suspects and reported its begun answers: one to
 * hear, and a part of one for the early sync that follows.
 */
const settleSyncs = 1.25;
/** Time for those syncs to travel and be answered, in milliseconds. */
const settleMarginMs = 200;

/**
 * Decides, at the leader, which requests and prompt parts crash endpoints, and ends verdicts that have lapsed or proved
 * wrong.
 */
export class SuspectVerdicts extends PeriodicComponent {
    readonly name = "suspect-verdicts";
    /** Instants at which this leader first saw the verdicts that stand. */
    private readonly standingSince = new Map<string, number>();

    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly holdsDuties: () => boolean,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkIntervalMs);
    }

    /** Ends a verdict for an operator; returns false if the suspect is not blocked. Rejects with a ControlError. */
    async lift(part: string): Promise<boolean> {
        if (!this.core.state.blockedParts.some(verdict => verdict.part === part)) {
            return false;
        }
        await this.end(part, "operator");
        return true;
    }

    protected override async runOnce(): Promise<void> {
        if (!this.holdsDuties()) {
            this.standingSince.clear();
            return;
        }
        const { coordinator, core: { state } } = this;
        const now = this.clock.now();
        for (const { part } of state.blockedParts) {
            const since = this.standingSince.get(part) ?? now;
            this.standingSince.set(part, since);
            if ((coordinator.crashJudge.lastBegun(part) ?? -Infinity) > since) {
                await this.end(part, "an answer has begun on it");
            }
            else if (now - Math.max(since, coordinator.refusedPartAt.get(part) ?? -Infinity) > lapseMs) {
                await this.end(part, "no request with it any more");
            }
        }
        const members = coordinator.roster.countMembers(now);
        const settleMs = syncIntervalMs(members) * settleSyncs + settleMarginMs;
        for (const verdict of coordinator.crashJudge.verdicts(now, settleMs, state.blocked.keys)) {
            await this.makeRoom();
            await this.core.propose({ type: "block-part", verdict });
            this.logBlocked(verdict);
        }
    }

    /** Ends the verdict whose suspect was refused least recently if there are as many as the state holds. */
    private async makeRoom(): Promise<void> {
        const { coordinator, core: { state } } = this;
        if (state.blockedParts.length < maxBlockedParts) {
            return;
        }
        const usedAt = (key: string): number =>
            Math.max(this.standingSince.get(key) ?? -Infinity, coordinator.refusedPartAt.get(key) ?? -Infinity);
        const [idle] = state.blockedParts.map(({ part }) => part).sort((a, b) => usedAt(a) - usedAt(b));
        if (idle !== undefined) {
            await this.end(idle, "too many verdicts");
        }
    }

    private logBlocked({ part, endpoints }: BlockedPart): void {
        const service = this.coordinator.endpoints.find(({ id }) => endpoints.includes(id))?.service;
        const evidence = { service, crashes: endpoints.length, endpoints: endpoints.join(",") };
        if (isRequestKey(part)) {
            this.log.warn("crashing-request.blocked", { request: part, ...evidence });
        }
        else {
            this.log.warn("prompt-part.blocked", { part, ...evidence });
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.info("prompt-part.not-decided", { reason: errorMessage(err) });
    }

    private async end(part: string, reason: string): Promise<void> {
        await this.core.propose({ type: "unblock-part", part });
        this.coordinator.crashJudge.clear(part, this.clock.now());
        this.standingSince.delete(part);
        this.coordinator.refusedPartAt.delete(part);
        if (isRequestKey(part)) {
            this.log.warn("crashing-request.unblocked", { request: part, reason });
        }
        else {
            this.log.warn("prompt-part.unblocked", { part, reason });
        }
    }
}
