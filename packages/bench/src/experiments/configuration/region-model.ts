import {
    ConfigurationRelay,
    ConfigurationStore,
    type ConfigurationStoreOptions,
    PermitGrantor,
    subscriptionTimeout,
} from "@lentilramp/configuration";
import { build } from "hdr-histogram-js";
import { messageDelay, type Place } from "./link-model.ts";
import { PublisherModel, type Simulation, Traffic } from "./publisher-model.ts";
import { changeFor, type PlannedChange, regionConfiguration } from "./region-configuration.ts";
import { type AskMode, SubscriberModel } from "./subscriber-model.ts";

export interface RegionOptions {
    region: number;
    domains: number;
    nodes: number;
    /** Relays between the leader and the subscribers; 0 lets them ask the leader. */
    relays: number;
    mode: AskMode;
    /** Increments kept by leader and relays; 0 makes each change a full transfer. */
    historyLimit: number;
}

/** Time of a synced write at a voter, in ms. */
const syncMs = 5;

/** One region: its leader, relays and subscribers. */
export class RegionModel {
    readonly leader: PublisherModel;
    readonly relays: PublisherModel[] = [];
    readonly relayUpstream: Traffic[] = [];
    readonly subscribers: SubscriberModel[];
    /** Instant at which each version was in force at the last subscriber. */
    readonly lastInForce: number[] = [];
    /** Delays from commit to force, over all subscribers and versions, in ms. */
    readonly delays = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000,
        numberOfSignificantValueDigits: 3,
    });
    /** Relays get no answer from the leader before this instant. */
    readonly relayCutUntil: number[] = [];
    private readonly committedAt: number[] = [];
    private readonly store: ConfigurationStore;
    private index = 0;

    constructor(private readonly simulation: Simulation, private readonly options: RegionOptions) {
        const { region, domains, nodes, mode, historyLimit } = options;
        const storeOptions: ConfigurationStoreOptions = { historyLimit };
        this.store = new ConfigurationStore(storeOptions);
        this.apply({ configuration: regionConfiguration(region, domains, nodes) });
        const grantor = new PermitGrantor();
        grantor.onElected();
        grantor.onCurrentTermApplied();
        grantor.onLease(Number.POSITIVE_INFINITY);
        this.leader = new PublisherModel(this.place(0), simulation, this.store, grantor);
        for (let i = 0; i < options.relays; i++) {
            this.startRelay(this.place(i), historyLimit);
        }
        const publishers = new Map((this.relays.length > 0 ? this.relays : [this.leader]).map((p, i) => [`p${i}`, p]));
        const ids = [...publishers.keys()];
        const preferred = (i: number) => [...ids.slice(i % ids.length), ...ids.slice(0, i % ids.length)];
        this.subscribers = [...Array(nodes).keys()].map(i =>
            new SubscriberModel(this.place(i), simulation, publishers, preferred(i), mode, (subscriber, version) => {
                for (let v = subscriber.counted + 1; v <= version; v++) {
                    this.lastInForce[v] = simulation.events.now;
                    const committedAt = this.committedAt[v];
                    if (committedAt !== undefined) {
                        this.delays.recordValue(Math.ceil(simulation.events.now - committedAt));
                    }
                }
                subscriber.counted = version;
            })
        );
        // The first requests are spread, since processes do not start together.
        this.subscribers.forEach(subscriber =>
            simulation.events.after(simulation.random.next() * 500, () => subscriber.start())
        );
    }

    get version(): number {
        return this.store.version;
    }

    /** Version that all subscribers have reached. */
    reachedByAll(): number {
        return Math.min(...this.subscribers.map(({ counted }) => counted));
    }

    /** Proposes a change from an operator at `from`; `committed` gets the version. */
    propose(plan: PlannedChange, sequence: number, from: Place, committed: (version: number) => void): void {
        const { events, random, links } = this.simulation;
        const { region, domains } = this.options;
        const voter = { region, domain: (this.leader.place.domain + 1) % domains };
        const arrival = events.now + messageDelay(from, this.leader.place, random, links);
        const replication = messageDelay(this.leader.place, voter, random, links)
            + messageDelay(voter, this.leader.place, random, links) + 2 * syncMs;
        events.at(Math.max(arrival, this.leader.downUntil) + replication, () => {
            const change = changeFor(plan, region, domains, sequence);
            this.apply(change);
            committed(this.version);
            this.committedAt[this.version] = events.now;
            this.leader.publish();
        });
    }

    restartOne(index: number): void {
        this.subscribers[index]?.restart(5_000, () => this.version);
    }

    /** Starts the count of traffic anew. */
    resetTraffic(): void {
        const models = [this.leader, ...this.relays, ...this.subscribers].map(({ traffic }) => traffic);
        [...models, ...this.relayUpstream].forEach(traffic => traffic.reset());
    }

    private place(index: number): Place {
        return { region: this.options.region, domain: index % this.options.domains };
    }

    private apply(
        change: ReturnType<typeof changeFor> | { configuration: ReturnType<typeof regionConfiguration>; },
    ): void {
        const operationId = `op-${++this.index}`;
        const time = { epoch: 1, at: this.simulation.events.now };
        const baseVersion = this.store.version;
        const result = "drain" in change
            ? this.store.apply({ type: "drain-endpoint", operationId, time, endpoint: change.drain }, this.index)
            : this.store.apply({ type: "propose", operationId, time, baseVersion, ...change }, this.index);
        if (!result.ok) {
            throw new Error(`the experiment made a change that was refused: ${result.message}`);
        }
    }

    private startRelay(place: Place, historyLimit: number): void {
        const { events } = this.simulation;
        const relay = new ConfigurationRelay(historyLimit);
        const model = new PublisherModel(place, this.simulation, relay, relay);
        const upstream = new Traffic();
        const number = this.relays.length;
        let call = 0;
        const ask = () => {
            const own = ++call;
            const sentAt = events.now;
            const request = relay.request(sentAt);
            const isCut = sentAt < (this.relayCutUntil[number] ?? 0);
            this.leader.call(place, upstream, request, answer => {
                if (own === call && !isCut) {
                    relay.accept(answer, sentAt);
                    model.publish();
                    ask();
                }
            });
            events.after(subscriptionTimeout(request.waitMs), () => own === call && ask());
        };
        ask();
        this.relays.push(model);
        this.relayUpstream.push(upstream);
    }
}
