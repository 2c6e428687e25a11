import { Err, Ok, type Result } from "ts-results-es";
import { applyChange } from "../change/apply-change.ts";
import type { Increment } from "../change/change.ts";
import { allRules, type RuleSwitches } from "../rules/rule-switches.ts";
import type { Configuration } from "../schema/index.ts";
import { maxSubscriptionWaitMs, type SubscribeAnswer, type SubscribeRequest } from "./messages.ts";

/** Effect of an accepted answer. `applied` holds the applied increments in order; undefined after a full transfer. */
export interface ViewUpdate {
    version: number;
    changed: boolean;
    applied: readonly Increment[] | undefined;
}

/** Reason why an answer was refused. A refused answer doesn't change the configuration of the view. */
export interface ViewRefusal {
    kind: "gap" | "older" | "no-permit";
    message: string;
}

/**
 * Copy of the configuration at a subscriber. Its version never decreases: increments are applied in order, repeated
 * ones are skipped, a gap leads to a request for a full transfer, and an older full configuration is refused.
 */
export class ConfigurationView {
    private current: Configuration | undefined;
    private needsFullTransfer = false;

    /** Creates a view without a configuration. Only tests pass `switches`. */
    constructor(private readonly switches: RuleSwitches = allRules) {}

    /** Current configuration, or undefined before the first one. */
    get configuration(): Configuration | undefined {
        return this.current;
    }

    /** Version of the current configuration; 0 before the first one. */
    get version(): number {
        return this.current?.version ?? 0;
    }

    /** Returns the next request of `configuration.subscribe`. */
    request(waitMs = maxSubscriptionWaitMs): SubscribeRequest {
        return { version: this.version, ...(this.needsFullTransfer ? { full: true as const } : {}), waitMs };
    }

    /** Applies an answer, which need not belong to the last request, or returns the reason for its refusal. */
    accept(answer: SubscribeAnswer): Result<ViewUpdate, ViewRefusal> {
        // A first configuration from a lagging peer could be older than the one that this process had before its
        // restart. Only an answer with a permit is guaranteed to come from the leader.
        if (this.current === undefined && answer.permitMs === undefined) {
            return Err({ kind: "no-permit", message: "the first configuration must come with a send permit" });
        }
        if (answer.full !== undefined) {
            return this.acceptFull(answer.full);
        }
        if (answer.increments !== undefined) {
            return this.acceptIncrements(answer.increments);
        }
        if (answer.version < this.version) {
            return this.refuseOlder(answer.version);
        }
        return Ok({ version: this.version, changed: false, applied: [] });
    }

    private acceptFull(full: Configuration): Result<ViewUpdate, ViewRefusal> {
        if (this.switches.versionCheck && full.version < this.version) {
            return this.refuseOlder(full.version);
        }
        const changed = full.version !== this.version;
        if (changed) {
            this.current = full;
        }
        this.needsFullTransfer = false;
        return Ok({ version: this.version, changed, applied: changed ? undefined : [] });
    }

    private acceptIncrements(increments: readonly Increment[]): Result<ViewUpdate, ViewRefusal> {
        const unapplied = this.switches.versionCheck
            ? increments.filter(increment => increment.to > this.version)
            : increments;
        let next = this.current;
        // Applies all increments or none: a relay adds only the increments of accepted answers to its history, so the
        // ones before a gap would be missing there.
        for (const increment of unapplied) {
            if (next === undefined || (this.switches.versionCheck && increment.from !== next.version)) {
                this.needsFullTransfer = true;
                const currentVersion = next?.version ?? 0;
                const message =
                    `increment ${increment.from} to ${increment.to} does not follow version ${currentVersion}`;
                return Err({ kind: "gap", message });
            }
            next = applyChange(next, increment.change, increment.to);
        }
        this.current = next;
        return Ok({ version: this.version, changed: unapplied.length > 0, applied: unapplied });
    }

    private refuseOlder(version: number): Result<ViewUpdate, ViewRefusal> {
        return Err({ kind: "older", message: `version ${version} is older than the current version ${this.version}` });
    }
}
