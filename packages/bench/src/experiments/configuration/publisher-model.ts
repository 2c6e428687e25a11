import {
    ConfigurationPublisher,
    type PermitSource,
    type PublishedState,
    type SubscribeAnswer,
    type SubscribeRequest,
} from "@lentilramp/configuration";
import type { RandomSource } from "@lentilramp/runtime";
import type { EventQueue } from "./event-queue.ts";
import { type LinkOptions, messageDelay, type Place } from "./link-model.ts";
import type { MessageSizes } from "./wire-size.ts";

/** Bytes and messages of a process, both directions. */
export class Traffic {
    bytes = 0;
    messages = 0;

    add(bytes: number): void {
        this.bytes += bytes;
        this.messages++;
    }

    reset(): void {
        this.bytes = 0;
        this.messages = 0;
    }
}

export interface Simulation {
    events: EventQueue;
    random: RandomSource;
    links: LinkOptions;
    sizes: MessageSizes;
    /** Part of the exchanges whose connection goes silent. */
    silence: number;
}

interface OpenCall {
    place: Place;
    traffic: Traffic;
    done: (answer: SubscribeAnswer) => void;
}

/** A process that answers subscriptions: the leader of a region or a relay. */
export class PublisherModel {
    readonly traffic = new Traffic();
    /** The process answers nothing before this instant. */
    downUntil = 0;
    private readonly publisher: ConfigurationPublisher;
    private readonly calls = new Map<number, OpenCall>();
    private nextId = 1;

    constructor(
        readonly place: Place,
        private readonly simulation: Simulation,
        state: PublishedState,
        permits: PermitSource,
    ) {
        this.publisher = new ConfigurationPublisher(state, permits);
    }

    /** Sends a subscription over the simulated network; `done` is not called when the answer is lost. */
    call(place: Place, traffic: Traffic, request: SubscribeRequest, done: (answer: SubscribeAnswer) => void): void {
        const { events, random, links, sizes, silence } = this.simulation;
        const id = this.nextId++;
        const bytes = sizes.request(id, request);
        traffic.add(bytes);
        const isSilent = random.next() < silence;
        events.after(messageDelay(place, this.place, random, links), () => {
            if (isSilent || this.isDown) {
                return;
            }
            this.traffic.add(bytes);
            this.calls.set(id, { place, traffic, done });
            this.send(this.publisher.subscribe(id, request, events.now));
            if (this.calls.has(id)) {
                events.after(request.waitMs, () => this.publish());
            }
        });
    }

    /** Answers the subscriptions that are due. */
    publish(): void {
        if (!this.isDown) {
            this.send(this.publisher.publish(this.simulation.events.now));
        }
    }

    private get isDown(): boolean {
        return this.simulation.events.now < this.downUntil;
    }

    private send(effects: readonly { id: number; answer: SubscribeAnswer; }[]): void {
        const { events, random, links, sizes } = this.simulation;
        for (const { id, answer } of effects) {
            const call = this.calls.get(id);
            this.calls.delete(id);
            if (call === undefined) {
                continue;
            }
            const { increments, full, ...rest } = answer;
            const bytes = sizes.response(id, rest, { increments, full });
            this.traffic.add(bytes);
            events.after(messageDelay(this.place, call.place, random, links), () => {
                call.traffic.add(bytes);
                call.done(answer);
            });
        }
    }
}
