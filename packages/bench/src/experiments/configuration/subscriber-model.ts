import {
    ConfigurationView,
    PublisherSelector,
    SendPermit,
    type SubscribeAnswer,
    subscriptionTimeout,
    subscriptionWait,
} from "@lentilramp/configuration";
import type { Place } from "./link-model.ts";
import { type PublisherModel, type Simulation, Traffic } from "./publisher-model.ts";

/** How a subscriber asks: it lets the publisher wait, or it polls at an interval. */
export type AskMode = { kind: "subscribe"; } | { kind: "poll"; intervalMs: number; };

/** An entry process with its view, its permit and its figures. */
export class SubscriberModel {
    readonly traffic = new Traffic();
    /** Highest version that was counted as in force here. */
    counted = 0;
    /** Shortest remaining time of the permit at a renewal; negative when the permit had ended. */
    leastPermitMs = Number.POSITIVE_INFINITY;
    /** Time without a valid permit, after the first one. */
    withoutPermitMs = 0;
    private view = new ConfigurationView();
    private permit = new SendPermit();
    private life = 0;
    private call = 0;
    private choice: PublisherSelector;

    constructor(
        private readonly place: Place,
        private readonly simulation: Simulation,
        private readonly publishers: ReadonlyMap<string, PublisherModel>,
        private readonly preferred: readonly string[],
        private readonly mode: AskMode,
        private readonly onVersion: (subscriber: SubscriberModel, version: number) => void,
    ) {
        this.choice = new PublisherSelector(preferred);
    }

    start(): void {
        this.ask();
    }

    /** Stops the process and starts it again after `downMs`; `newestVersion` gives the version at that instant. */
    restart(downMs: number, newestVersion: () => number): void {
        this.life++;
        this.simulation.events.after(downMs, () => {
            this.view = new ConfigurationView();
            this.permit = new SendPermit();
            this.choice = new PublisherSelector(this.preferred);
            // A process that was down sent nothing, so what was committed meanwhile is in force here from the start.
            this.counted = Math.max(this.counted, newestVersion());
            this.ask();
        });
    }

    private ask(): void {
        const { events } = this.simulation;
        const { life } = this;
        const call = ++this.call;
        const sentAt = events.now;
        const server = this.choice.select(sentAt) ?? "";
        const waitMs = this.mode.kind === "subscribe" ? subscriptionWait(this.permit.validUntil - sentAt) : 0;
        const isCurrent = () => life === this.life && call === this.call;
        this.publishers.get(server)?.call(this.place, this.traffic, this.view.request(waitMs), answer => {
            if (isCurrent()) {
                this.onAnswer(answer, sentAt);
                this.choice.onAnswer(server, this.permit.validUntil - events.now, events.now);
                const delay = this.mode.kind === "poll" ? Math.max(0, sentAt + this.mode.intervalMs - events.now) : 0;
                const next = ++this.call;
                events.after(delay, () => life === this.life && next === this.call && this.ask());
            }
        });
        events.after(subscriptionTimeout(waitMs), () => {
            if (isCurrent()) {
                this.choice.onFailure(server, events.now);
                this.ask();
            }
        });
    }

    private onAnswer(answer: SubscribeAnswer, sentAt: number): void {
        const { now } = this.simulation.events;
        const { version, permitMs } = answer;
        this.view.accept(answer);
        if (permitMs !== undefined) {
            if (this.permit.validUntil > 0) {
                const remaining = this.permit.validUntil - now;
                this.leastPermitMs = Math.min(this.leastPermitMs, remaining);
                this.withoutPermitMs += Math.max(0, -remaining);
            }
            this.permit.renew({ sentAt, permitMs, version }, this.view.version);
        }
        if (this.view.version > this.counted) {
            this.onVersion(this, this.view.version);
        }
    }
}
