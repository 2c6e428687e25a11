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
 * Longest time that the leader may hold a subscription of a relay. It is shorter than for an entry, because the permits
 * that the relay grants count from the instant at which the relay sent its request to the leader.
 */
export const relayWaitMs = 250;

/**
 * Subscriber of the leader that publishes to many entries (design questions 12 and 15). It forwards the increments that
 * it received and grants permits for the remaining time of the permit that the leader granted to it. It serves as both
 * arguments of a `ConfigurationPublisher`.
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

    /** Instant at which the permit of the relay expires. */
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

    /**
     * Applies the answer of the leader to a request sent at `sentAt`, or returns the reason for its refusal. The caller
     * then calls `publish` of its publisher.
     */
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
     * Returns the milliseconds from the receipt of the subscriber's request to the expiry of the relay's permit. The
     * subscriber counts them from the sending of its request, which was earlier, so its permit expires no later than
     * that of the relay.
     */
    grant(receivedAt: number, now: number): number | undefined {
        return this.permit.isValid(now) ? this.permit.validUntil - receivedAt : undefined;
    }
}
