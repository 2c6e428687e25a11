import { Err, Ok, type Result } from "ts-results-es";
import { applyChange } from "../change/apply-change.ts";
import type { Increment } from "../change/change.ts";
import { allRules, type RuleSwitches } from "../rules/rule-switches.ts";
import type { Configuration } from "../schema/index.ts";
import { maxSubscriptionWaitMs, type SubscribeAnswer, type SubscribeRequest } from "./messages.ts";

/** What an answer changed. `applied` holds the increments in order, or is undefined for a full transfer. */
export interface ViewUpdate {
    version: number;
    changed: boolean;
    applied: readonly Increment[] | undefined;
}

/** Why an answer was refused; the view is unchanged. */
export interface ViewRefusal {
    kind: "gap" | "older" | "no-permit";
    message: string;
}

/**
 * The configuration that a subscriber holds. Its version only grows: increments are accepted in order only, repeated
 * ones are skipped, a gap leads to a request for a full transfer, and an older full state is refused.
 */
export class ConfigurationView {
    private held: Configuration | undefined;
    private needsFull = false;

    /** `switches` is only for tests. */
    constructor(private readonly switches: RuleSwitches = allRules) {}

    /** The configuration in force, or undefined before the first one. */
    get configuration(): Configuration | undefined {
        return this.held;
    }

    /** Held version; 0 before the first configuration. */
    get version(): number {
        return this.held?.version ?? 0;
    }

    /** Returns the next request of `configuration.subscribe`. */
    request(waitMs = maxSubscriptionWaitMs): SubscribeRequest {
        return { version: this.version, ...(this.needsFull ? { full: true as const } : {}), waitMs };
    }

    /** Takes an answer. The answer need not belong to the last request. */
    accept(answer: SubscribeAnswer): Result<ViewUpdate, ViewRefusal> {
        // A first configuration from a lagging peer could be older than one that this process held before its restart;
        // only an answer with a permit is known to be the leader's.
        if (this.held === undefined && answer.permitMs === undefined) {
            return Err({ kind: "no-permit", message: "the first configuration needs a send permit" });
        }
        if (answer.full !== undefined) {
            return this.acceptFull(answer.full);
        }
        if (answer.increments !== undefined) {
            return this.acceptIncrements(answer.increments);
        }
        if (answer.version < this.version) {
            return this.older(answer.version);
        }
        return Ok({ version: this.version, changed: false, applied: [] });
    }

    private acceptFull(full: Configuration): Result<ViewUpdate, ViewRefusal> {
        if (this.switches.versionCheck && full.version < this.version) {
            return this.older(full.version);
        }
        const changed = full.version !== this.version;
        if (changed) {
            this.held = full;
        }
        this.needsFull = false;
        return Ok({ version: this.version, changed, applied: changed ? undefined : [] });
    }

    private acceptIncrements(increments: readonly Increment[]): Result<ViewUpdate, ViewRefusal> {
        const following = this.switches.versionCheck
            ? increments.filter(increment => increment.to > this.version)
            : increments;
        let next = this.held;
        // All or nothing: a relay keeps the history of what was applied, and a part before a gap would be missing in it.
        for (const increment of following) {
            if (next === undefined || (this.switches.versionCheck && increment.from !== next.version)) {
                this.needsFull = true;
                const held = next?.version ?? 0;
                const message = `increment ${increment.from} to ${increment.to} does not follow version ${held}`;
                return Err({ kind: "gap", message });
            }
            next = applyChange(next, increment.change, increment.to);
        }
        this.held = next;
        return Ok({ version: this.version, changed: following.length > 0, applied: following });
    }

    private older(version: number): Result<ViewUpdate, ViewRefusal> {
        return Err({ kind: "older", message: `version ${version} is older than the held version ${this.version}` });
    }
}
