import {
    allRules,
    type Configuration,
    ConfigurationPublisher,
    ConfigurationRelay,
    ConfigurationStore,
    ConfigurationView,
    PermitGrantor,
    type SubscribeAnswer,
    subscribeAnswerSchema,
} from "@lentilramp/configuration";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { exampleConfiguration, serviceEndpoint, StoreDriver } from "../fixtures.ts";

/** Returns the grantor of a leader with a lease that never expires. */
function grantorOfLeader(): PermitGrantor {
    const grantor = new PermitGrantor();
    grantor.onElected();
    grantor.onCurrentTermApplied();
    grantor.onLease(Number.POSITIVE_INFINITY);
    return grantor;
}

/**
 * Model of a leader with a short history, a second replica, a relay, and subscribers whose answers are delivered in
 * random order.
 */
class Network {
    readonly random;
    readonly driver: StoreDriver;
    /** Configuration of the leader at each version. */
    readonly configurationByVersion = new Map<number, Configuration>();
    readonly replica = new ConfigurationStore({ historyLimit: 4 });
    readonly relay = new ConfigurationRelay(4);
    readonly views = [0, 1, 2].map(() => new ConfigurationView());
    readonly undelivered: SubscribeAnswer[][] = this.views.map(() => []);
    readonly undeliveredToRelay: SubscribeAnswer[] = [];
    readonly grantor = grantorOfLeader();
    private proposals: { id: string; base: number; configuration: Configuration; }[] = [];
    private sequence = 0;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
        this.driver = new StoreDriver(1_000_000, new ConfigurationStore({ historyLimit: 4 }));
        this.change();
    }

    step(): void {
        const actions = [
            () => this.change(),
            () => this.resend(),
            () => this.drain(),
            () => this.fetch(this.random.nextInt(3)),
            () => this.fetch(this.random.nextInt(3)),
            () => this.deliver(this.random.nextInt(3)),
            () => this.deliver(this.random.nextInt(3)),
            () => this.fetchRelay(),
            () => this.deliverRelay(),
            () => this.restart(this.random.nextInt(3)),
            () => this.copySnapshot(),
            () => this.changeLeader(),
        ];
        this.driver.at += this.random.nextInt(300);
        (actions[this.random.nextInt(actions.length)] as () => void)();
    }

    private change(): void {
        const { store } = this.driver;
        const versionsBehind = this.random.nextInt(4) === 0 ? 1 : 0;
        const count = 1 + this.random.nextInt(4);
        const endpoints = [...Array(count).keys()].map(i => serviceEndpoint(`hire-${i}`, 7_000 + this.sequence));
        const configuration = exampleConfiguration({ endpoints, costWeight: this.random.next() });
        const proposal = {
            id: `op-${this.sequence++}`,
            base: Math.max(0, store.version - versionsBehind),
            configuration,
        };
        this.proposals.push(proposal);
        const result = this.driver.propose(proposal.id, proposal.base, configuration);
        expect(result.ok).to.equal(proposal.base === store.version - (result.ok ? 1 : 0));
        this.recordConfiguration();
    }

    private resend(): void {
        const proposal = this.proposals[this.random.nextInt(this.proposals.length)]!;
        const before = this.driver.store.version;
        this.driver.propose(proposal.id, proposal.base, proposal.configuration);
        expect(this.driver.store.version).to.equal(before);
    }

    private drain(): void {
        this.driver.drain(`drain-${this.sequence++}`, `hire-${this.random.nextInt(4)}`);
        this.recordConfiguration();
    }

    private recordConfiguration(): void {
        const { configuration, version } = this.driver.store;
        const recorded = this.configurationByVersion.get(version);
        expect(recorded ?? configuration).to.deep.equal(configuration);
        this.configurationByVersion.set(version, configuration);
    }

    private answer(request: ReturnType<ConfigurationView["request"]>, fromRelay: boolean): SubscribeAnswer {
        const publisher = fromRelay
            ? new ConfigurationPublisher(this.relay, this.relay)
            : new ConfigurationPublisher(this.driver.store, this.grantor);
        publisher.subscribe(1, request, this.driver.at);
        const [effect] = [...publisher.subscribe(1, request, this.driver.at), ...publisher.drain(this.driver.at)];
        return subscribeAnswerSchema.parse(JSON.parse(JSON.stringify(effect!.answer)));
    }

    fetch(viewIndex: number): void {
        this.undelivered[viewIndex]!.push(this.answer(this.views[viewIndex]!.request(), this.random.nextInt(2) === 0));
    }

    /** Delivers a random answer. Sometimes keeps it, so that a later call may deliver it again. */
    private deliver(index: number): void {
        const queue = this.undelivered[index]!;
        const answer = queue[this.random.nextInt(queue.length)];
        if (answer === undefined) {
            return;
        }
        if (this.random.nextInt(3) > 0) {
            queue.splice(queue.indexOf(answer), 1);
        }
        this.accept(index, answer);
    }

    private accept(index: number, answer: SubscribeAnswer): void {
        const view = this.views[index]!;
        const before = view.version;
        view.accept(answer);
        expect(view.version).to.be.at.least(before);
        expect(view.configuration).to.deep.equal(
            view.version === 0 ? undefined : this.configurationByVersion.get(view.version),
        );
    }

    private fetchRelay(): void {
        this.undeliveredToRelay.push(this.answer(this.relay.request(this.driver.at), false));
    }

    private deliverRelay(): void {
        const answer = this.undeliveredToRelay[this.random.nextInt(this.undeliveredToRelay.length)];
        const before = this.relay.version;
        if (answer !== undefined) {
            this.relay.accept(answer, this.driver.at);
        }
        expect(this.relay.version).to.be.at.least(before);
    }

    private restart(index: number): void {
        if (this.random.nextInt(3) === 0) {
            this.views[index] = new ConfigurationView();
            this.undelivered[index] = [];
        }
    }

    private copySnapshot(): void {
        const snapshot = JSON.parse(JSON.stringify(this.driver.store.snapshot()));
        expect(this.replica.restore(snapshot).isOk()).to.equal(true);
        expect(this.replica.snapshot()).to.deep.equal(snapshot);
    }

    /** Replaces the leader with a process restored from a snapshot, whose history of increments is empty. */
    private changeLeader(): void {
        const store = new ConfigurationStore({ historyLimit: 4 });
        expect(store.restore(this.driver.store.snapshot()).isOk()).to.equal(true);
        this.driver.store = store;
        this.driver.epoch++;
    }

    /** Delivers current answers to the relay and the subscribers until all have the newest version. */
    settle(): void {
        for (let round = 0; round < 2; round++) {
            this.relay.accept(this.answer(this.relay.request(this.driver.at), false), this.driver.at);
            this.views.forEach((view, index) => this.accept(index, this.answer(view.request(), index > 0)));
        }
    }
}

describe("distribution", () => {
    // Guards against a view that reverts, skips a change or diverges from the leader under reordered or repeated
    // answers.
    it("never reverts to an older version and converges for random schedules", () => {
        fc.assert(
            fc.property(fc.integer(), fc.integer({ min: 1, max: 150 }), (seed, steps) => {
                const network = new Network(seed);
                for (let i = 0; i < steps; i++) {
                    network.step();
                }
                network.settle();
                const { configuration } = network.driver.store;
                network.views.forEach(view => expect(view.configuration).to.deep.equal(configuration));
                expect(network.relay.configuration).to.deep.equal(configuration);
            }),
            { seed: 15, numRuns: 150 },
        );
    });
});

describe("ConfigurationView", () => {
    function answers() {
        const driver = new StoreDriver();
        const states = [0, 1, 2].map(version => {
            driver.propose(`op-${version}`, version, exampleConfiguration({ costWeight: version / 10 }));
            return driver.store.configuration;
        });
        const full = (configuration: Configuration) => ({
            version: configuration.version,
            full: configuration,
            permitMs: 1,
            controlTime: 0,
        });
        const [second, third] = driver.store.incrementsSince(1)!;
        return { states, full, second: second!, third: third! };
    }

    // Guards against a view that reverts to an older version; with the check turned off, it does.
    it("refuses an older full configuration and older increments, unless the version check is turned off", () => {
        const { states, full, second } = answers();
        for (const versionCheck of [true, false]) {
            const view = new ConfigurationView({ ...allRules, versionCheck });
            view.accept(full(states[2]!));
            view.accept(full(states[0]!));
            expect(view.version).to.equal(versionCheck ? 3 : 1);
            view.accept(full(states[2]!));
            view.accept({ version: 2, increments: [second], controlTime: 0 });
            expect(view.version).to.equal(versionCheck ? 3 : 2);
        }
    });

    // Guards against a skipped increment. Nothing before a gap is applied, since the history of a relay would lack it.
    it("applies nothing of an answer with a gap and requests a full transfer", () => {
        const { states, full, second, third } = answers();
        const view = new ConfigurationView();
        view.accept(full(states[0]!));
        expect(view.accept({ version: 3, increments: [third], controlTime: 0 }).isErr()).to.equal(true);
        const gap = { version: 5, increments: [second, { ...third, from: 4, to: 5 }], controlTime: 0 };
        expect(view.accept(gap).isErr()).to.equal(true);
        expect(view.version).to.equal(1);
        expect(view.request()).to.include({ version: 1, full: true });
        view.accept(full(states[2]!));
        expect(view.request()).to.not.have.property("full");
    });

    // Guards against a restarted entry that accepts an old configuration from a lagging peer.
    it("accepts a first configuration only with a permit", () => {
        const { states, full } = answers();
        const view = new ConfigurationView();
        expect(view.accept({ ...full(states[0]!), permitMs: undefined }).isErr()).to.equal(true);
        expect(view.version).to.equal(0);
    });
});

describe("ConfigurationPublisher", () => {
    // Guards against a subscription that is held although a newer version exists, or that is never answered.
    it("answers at once with a newer version, else after a change or at the end of the wait", () => {
        const driver = new StoreDriver();
        driver.propose("a", 0, exampleConfiguration());
        const publisher = new ConfigurationPublisher(driver.store, grantorOfLeader());
        expect(publisher.subscribe(1, { version: 0, waitMs: 500 }, 0)[0]?.answer.full?.version).to.equal(1);
        expect(publisher.subscribe(2, { version: 1, waitMs: 500 }, 0)).to.deep.equal([]);
        expect(publisher.nextInstant()).to.equal(500);
        expect(publisher.publish(499)).to.deep.equal([]);
        expect(publisher.publish(500).map(({ id, answer }) => [id, answer.version])).to.deep.equal([[2, 1]]);
        publisher.subscribe(3, { version: 1, waitMs: 500 }, 600);
        driver.drain("d", "hire-1");
        expect(publisher.publish(601)[0]?.answer.increments?.map(({ to }) => to)).to.deep.equal([2]);
        expect(publisher.pendingCount).to.equal(0);
    });
});
