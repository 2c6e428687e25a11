import type { Result } from "ts-results-es";
import type { Increment } from "../change/change.ts";
import { SendPermit } from "../permits/send-permit.ts";
import { emptyConfiguration } from "../schema/index.ts";
import type { Configuration } from "../schema/index.ts";
import { IncrementHistory } from "../store/increment-history.ts";
import { ConfigurationView, type ViewRefusal, type ViewUpdate } from "./configuration-view.ts";
import type { SubscribeAnswer, SubscribeRequest } from "./messages.ts";
import type { PermitSource, PublishedState } from "./published-state.ts";
import { subscriptionWait } from "./subscription-wait.ts";

/**
 * Time for which a relay lets the leader hold its subscription. It is shorter than that of an entry, because the permits
 * that the relay passes on count from the instant at which the relay sent its own request.
 */
export const relayWaitMs = 250;

/**
 * A node that subscribes at the leader and serves many entries (design question 12 and 15). It passes on increments as
 * it received them, and the remaining time of its own permit. Use it as both arguments of a `ConfigurationPublisher`.
 */
export class ConfigurationRelay implements PublishedState, PermitSource {
    private readonly view = new ConfigurationView();
    private readonly permit = new SendPermit();
    private readonly history: IncrementHistory;

    constructor(historyLimit?: number) {
        this.history = new IncrementHistory(historyLimit);
    }

    get version(): number {
        return this.view.version;
    }

    get configuration(): Configuration {
        return this.view.configuration ?? emptyConfiguration();
    }

    /** Instant at which the permit that the relay passes on ends. */
    get permitUntil(): number {
        return this.permit.validUntil;
    }

    incrementsSince(version: number): Increment[] | undefined {
        return this.history.since(version, this.version);
    }

    /** Returns the next request to the leader. */
    request(now: number): SubscribeRequest {
        return this.view.request(Math.min(relayWaitMs, subscriptionWait(this.permit.validUntil - now)));
    }

    /** Takes the leader's answer to a request sent at `sentAt`. The caller then calls `publish` of its publisher. */
    accept(answer: SubscribeAnswer, sentAt: number): Result<ViewUpdate, ViewRefusal> {
        const accepted = this.view.accept(answer);
        if (accepted.isOk()) {
            if (accepted.value.applied === undefined) {
                this.history.clear();
            }
            accepted.value.applied?.forEach(increment => this.history.add(increment));
            if (answer.permitMs !== undefined) {
                this.permit.renew({ sentAt, permitMs: answer.permitMs, version: answer.version }, this.view.version);
            }
        }
        return accepted;
    }

    /**
     * Returns the time from the receipt of the subscriber's request to the end of the relay's permit. The subscriber
     * counts it from the sending of its request, which was earlier, so its permit ends no later than the relay's.
     */
    grant(receivedAt: number, now: number): number | undefined {
        return this.permit.isValid(now) ? this.permit.validUntil - receivedAt : undefined;
    }
}
