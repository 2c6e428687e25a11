import type { Endpoint } from "@lentilramp/fleet";
import {
    type OrderCommand,
    renewAnswerSchema,
    type RenewRequest,
    renewRequestSchema,
    type Rollout,
    rolloutDefaults,
    type RolloutOptions,
    VersionResults,
} from "@lentilramp/rollouts";
import { ManualClock, MemoryEventLog } from "@lentilramp/runtime";
import {
    answerRenewal,
    FleetCoordinator,
    RolloutDirector,
    type StewardCommand,
    type StewardCore,
    StewardState,
} from "@lentilramp/steward";
import { expect } from "chai";
import { FakeIngress, rolloutEndpoint, rolloutSync } from "./rollout-sync.ts";

const stepMs = 20;
const limitMs = 20_000;
const startMs = 1_000_000;

describe("RolloutDirector", () => {
    let clock: ManualClock;
    let state: StewardState;
    let log: MemoryEventLog;
    let coordinator: FleetCoordinator;
    let director: RolloutDirector;
    let ingresses: FakeIngress[];
    let leads: boolean;
    let hasMajority: boolean;
    let failing: number;
    let endpoints: Endpoint[];
    let index: number;
    let platformAnswers: boolean;
    /** Whether the store takes a command. */
    let stores: (command: StewardCommand) => boolean;

    function createDirector(options: RolloutOptions = rolloutDefaults): void {
        coordinator = new FleetCoordinator(clock, 5_000);
        const core = {
            state,
            clock,
            log,
            driver: { confirmRead: () => hasMajority ? Promise.resolve() : Promise.reject(new Error("no majority")) },
            propose: async (command: StewardCommand) => {
                if (!hasMajority) {
                    throw new Error("no majority");
                }
                if (!stores(command)) {
                    throw new Error("the store is full");
                }
                return state.apply(JSON.stringify(command), ++index);
            },
        } as unknown as StewardCore;
        director = new RolloutDirector(core, coordinator, options, () => leads, clock, log);
    }

    beforeEach(() => {
        clock = new ManualClock(startMs);
        state = new StewardState(() => undefined, () => undefined);
        log = new MemoryEventLog();
        ingresses = ["a", "b", "c"].map(name => new FakeIngress(name));
        leads = true;
        hasMajority = true;
        failing = 0;
        endpoints = [rolloutEndpoint("old", "v1"), rolloutEndpoint("new", "v2")];
        index = 0;
        platformAnswers = true;
        stores = () => true;
        createDirector();
    });

    afterEach(() => director.close());

    function order(
        target = "v2",
        listed: Pick<OrderCommand, "listed" | "awaitsList"> = { listed: ["v1"] },
        service = "app",
    ): void {
        const orderedAt = clock.now();
        const command: StewardCommand = {
            type: "rollout-order",
            service,
            target,
            orderedAt,
            deadline: orderedAt + limitMs,
            ...listed,
            repeatsSince: orderedAt - 5_000,
        };
        state.apply(JSON.stringify(command), ++index);
    }

    /** Lets time pass, in which each ingress gets a request each 20 ms and syncs each 260 ms. */
    async function run(ms: number): Promise<void> {
        for (const end = clock.now() + ms; clock.now() < end;) {
            clock.advanceTo(clock.now() + stepMs);
            const now = clock.now();
            const tick = (now - startMs) / stepMs;
            if (platformAnswers) {
                coordinator.updateEndpointList(endpoints, now, tick);
            }
            for (const [i, ingress] of ingresses.entries()) {
                ingress.results?.recordAsked();
                ingress.results?.recordArrival();
                const version = (tick * 7 + i * 3) % 100 < ingress.share * 100 ? "v2" : "v1";
                ingress.results?.recordSend(version);
                const isFailed = version === "v2" && (tick * 13 + i) % 100 < failing * 100;
                ingress.results?.recordResponse(
                    version,
                    "r",
                    isFailed ? "failed" : "answered",
                    isFailed ? undefined : 30,
                );
                if ((tick + i * 4) % 13 === 0) {
                    const req = ingress.request(now);
                    coordinator.sync(req);
                    ingress.obey(director.notices(undefined));
                    Object.values(req.rolloutResults ?? {}).forEach(report => ingress.results?.acknowledge(report));
                }
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    const rollout = () => state.rollouts.services.app;

    it("says nothing before the first order", async () => {
        await director.start();
        await run(1_000);
        expect(director.notices(undefined)).to.equal(undefined);
        expect(director.running).to.equal(0);
    });

    it("moves the traffic in steps, and completes when no ingress has anything at old endpoints", async () => {
        await director.start();
        order();
        await run(5_000);
        const canary = director.notices(undefined)?.services.app;
        expect(canary?.share).to.be.within(0.01, 0.25);
        expect(canary).to.include({ state: "running", validMs: 1_000, closed: false });
        expect(canary?.ageMs).to.be.below(200);
        const [last] = ingresses.slice(-1);
        (last as FakeIngress).runningAtOld = 1;
        await run(13_000);
        expect(rollout()).to.include({ state: "running", step: 3 });
        expect(director.notices(undefined)?.services.app).to.include({ share: 1, closed: false });
        (last as FakeIngress).runningAtOld = 0;
        await run(1_000);
        expect(rollout()).to.include({ state: "completed" });
        expect(rollout()?.barred).to.deep.equal(["v1"]);
        expect(log.events.filter(({ name }) => name === "rollout.step")).to.have.length(3);
        expect(log.events.map(({ name }) => name)).to.include("rollout.completed");
        // An ingress that knows of the end is told nothing more.
        expect(director.notices(state.rollouts.revision)).to.equal(undefined);
        expect(director.notices(state.rollouts.revision - 1)?.services.app?.state).to.equal("completed");
    });

    const unlisted = { listed: [], awaitsList: true };

    // Guards against requests to the versions of the first list after `completed`, because none was read at the order.
    it("bars the versions of the first list after an order without one, and none that come later", async () => {
        platformAnswers = false;
        await director.start();
        order("v2", unlisted);
        await run(2_000);
        expect(rollout()).to.deep.include({ previous: [], step: 0 });
        platformAnswers = true;
        endpoints = [rolloutEndpoint("old", "v1")];
        await run(stepMs);
        endpoints = [rolloutEndpoint("old", "v1"), rolloutEndpoint("new", "v2"), rolloutEndpoint("later", "v3")];
        await run(300);
        expect(rollout()?.previous).to.deep.equal(["v1"]);
        expect(log.events.find(({ name }) => name === "rollout.listed")?.fields).to.include({ versions: "v1" });
        await run(20_000);
        expect(rollout()).to.deep.include({ state: "completed", barred: ["v1"] });
    });

    // Guards against a list from before the order, against a share before the versions are recorded, and against a new
    // leader or a restored snapshot that forgets that they are missing.
    it("records the first list under a new leader, and gives the target no share before", async () => {
        await director.start();
        await run(500);
        platformAnswers = false;
        order("v2", unlisted);
        await run(1_000);
        expect(rollout()).to.include({ awaitsList: true });
        await director.close();
        state.restore(state.snapshot());
        createDirector();
        await director.start();
        await run(1_000);
        hasMajority = false;
        platformAnswers = true;
        await run(1_000);
        endpoints = [...endpoints, rolloutEndpoint("later", "v3")];
        await run(500);
        expect(rollout()).to.include({ awaitsList: true });
        expect(ingresses.map(({ share }) => share)).to.deep.equal([0, 0, 0]);
        hasMajority = true;
        await run(2_000);
        expect(rollout()?.previous).to.deep.equal(["v1"]);
        expect(director.notices(undefined)?.services.app?.share).to.be.above(0);
    });

    it("gives no share before an endpoint of the target is ready", async () => {
        endpoints = [rolloutEndpoint("old", "v1"), { ...rolloutEndpoint("new", "v2"), ready: false }];
        await director.start();
        order();
        await run(3_000);
        expect(director.notices(undefined)?.services.app).to.include({ share: 0 });
    });

    it("rolls a bad version back and names the evidence", async () => {
        await director.start();
        order();
        failing = 0.5;
        await run(9_000);
        expect(rollout()).to.include({ state: "rolled_back" });
        expect(rollout()?.barred).to.deep.equal(["v2"]);
        const event = log.events.find(({ name }) => name === "rollout.rolled-back");
        expect(event?.fields).to.include({ service: "app", target: "v2", route: "r", by: "failures" });
    });

    // Guards against the share of a leader that has been replaced and does not know it yet.
    it("lets its shares age while no majority confirms that it leads", async () => {
        await director.start();
        order();
        await run(4_000);
        hasMajority = false;
        await run(1_500);
        const { ageMs = 0, validMs = 0 } = director.notices(undefined)?.services.app ?? {};
        expect(ageMs).to.be.above(validMs);
    });

    // Guards against a verdict that is forgotten when it cannot be committed.
    it("hands out the share 0 for a bad version even while the verdict cannot be committed", async () => {
        await director.start();
        order();
        await run(3_000);
        failing = 0.6;
        const core = (director as unknown as { core: { propose: unknown; }; }).core;
        const working = core.propose;
        core.propose = () => Promise.reject(new Error("the store is full"));
        await run(6_000);
        expect(rollout()).to.include({ state: "running" });
        expect(director.notices(undefined)?.services.app).to.include({ share: 0 });
        core.propose = working;
        await run(500);
        expect(rollout()).to.include({ state: "rolled_back" });
    });

    // Guards against a verdict on one service that waits until the store takes a command on another one.
    it("directs the other roll-outs while a change of one cannot be committed", async () => {
        stores = command => !("service" in command) || command.service !== "other";
        await director.start();
        order("v2", unlisted, "other");
        order();
        await run(3_000);
        expect(director.notices(undefined)?.services.app?.share).to.be.above(0);
        expect(log.events.filter(({ name }) => name === "rollout.not-decided")).not.to.have.length(0);
    });

    // Guards against a step without any evidence: no requests are heard of, because no ingress is in contact.
    it("takes no step while no ingress is in contact", async () => {
        await director.start();
        order();
        await run(9_000);
        expect(rollout()).to.include({ step: 0 });
        const away = ingresses.splice(0);
        await run(6_000);
        expect(rollout()).to.include({ state: "running", step: 0 });
        ingresses.push(...away);
        await run(8_000);
        expect(rollout()).to.include({ state: "completed" });
    });

    // Guards against requests to old replicas that have been stopped: the ingresses go on without the stewards, which
    // have all started again and know of no ingress.
    it("does not complete under a new leader before ingresses have told it what they obey", async () => {
        await director.start();
        order();
        await run(12_000);
        const [last] = ingresses.slice(-1);
        (last as FakeIngress).runningAtOld = 1;
        await run(5_000);
        expect(rollout()).to.include({ state: "running", step: 3 });
        await director.close();
        createDirector();
        await director.start();
        const away = ingresses.splice(0);
        await run(8_000);
        expect(rollout()).to.include({ state: "running" });
        (last as FakeIngress).runningAtOld = 0;
        ingresses.push(...away);
        await run(6_000);
        expect(rollout()).to.include({ state: "completed" });
    });

    // Guards against requests of an ingress without contact to old replicas that have been stopped.
    it("does not complete while an ingress that has lost contact may use other versions", async () => {
        await director.start();
        order();
        await run(4_000);
        // The canary lasts for 11 s of this roll-out, and the next two steps for 1 s each.
        const canary = director.notices(undefined)?.services.app;
        expect((canary?.othersMs ?? 0) - (canary?.ageMs ?? 0)).to.be.within(7_500, 8_500);
        const [last] = ingresses.slice(-1);
        (last as FakeIngress).runningAtOld = 1;
        await run(12_000);
        expect(rollout()).to.include({ state: "running", step: 3 });
        expect(director.notices(undefined)?.services.app).to.include({ share: 1, closed: false, othersMs: 4_000 });
        (last as FakeIngress).runningAtOld = 0;
        ingresses.pop();
        await run(4_500);
        expect(rollout()).to.include({ state: "running" });
        await run(1_500);
        expect(rollout()).to.include({ state: "completed" });
    });

    // Guards against ingresses that return to the old version while the end of the roll-out may still be committed.
    it("keeps everything at the target while the end cannot be committed", async () => {
        await director.start();
        order();
        let refused = 0;
        stores = command => {
            const isEnd = command.type === "rollout-progress" && "state" in command.change;
            refused += isEnd ? 1 : 0;
            return !isEnd;
        };
        for (let waitedMs = 0; refused === 0 && waitedMs < 20_000; waitedMs += 100) {
            await run(100);
        }
        expect(refused).to.be.above(0);
        // What seems bad now comes after the decision, as it would after the end.
        failing = 0.6;
        for (let i = 0; i < 80; i++) {
            await run(100);
            const told = director.notices(undefined)?.services.app;
            expect(told).to.include({ share: 1, closed: true });
            expect(told?.ageMs).to.be.below(1_000);
        }
        stores = () => true;
        await run(300);
        expect(rollout()).to.include({ state: "completed" });
    });

    // Guards against what a leader knew before another one led: its own checks may not have run in between.
    it("forgets what it has handed out and heard when it leads again in a later term", async () => {
        state.onRole("leader", 1);
        await director.start();
        order();
        await run(4_000);
        expect(director.notices(undefined)?.services.app?.share).to.be.above(0);
        const reports = coordinator.rolloutReports.of("app", rollout() as Rollout, clock.now());
        state.onRole("leader", 3);
        expect(director.notices(undefined)?.services.app?.share).to.equal(undefined);
        await run(600);
        expect(director.notices(undefined)?.services.app?.share).not.to.equal(undefined);
        expect(coordinator.rolloutReports.of("app", rollout() as Rollout, clock.now())).not.to.equal(reports);
    });

    // Guards against a share that ends long before the next sync of its ingress in a large fleet.
    it("has the share renewed by a part of the ingresses where syncs are far apart", async () => {
        await director.start();
        order();
        for (let i = 0; i < 1_600; i++) {
            coordinator.sync(rolloutSync(`other-${i}`, clock.now(), {}));
        }
        await run(4_000);
        const told = director.notices(undefined)?.services.app;
        expect(told).to.include({ state: "running", validMs: 2_500, renewMs: 1_500 });
        expect(told?.part).to.be.oneOf([1 / 8, 1 / 4]);
        const results = new VersionResults(rollout()?.orderedAt ?? 0, "v2");
        results.recordAsked();
        const request: RenewRequest = {
            ingress: "a",
            lifetime: "renewing",
            rolloutResults: { app: results.report(0, false) },
            rolloutRevision: state.rollouts.revision,
            load: {},
        };
        const reports = coordinator.rolloutReports.of("app", rollout() as Rollout, clock.now());
        const askedBefore = reports.asked;
        const parts = { core: { clock }, coordinator, rollouts: director, holdsDuties: () => leads };
        const answer = answerRenewal(renewRequestSchema.parse(request), parts);
        expect(renewAnswerSchema.parse(JSON.parse(JSON.stringify(answer)))).to.deep.include({ leading: true });
        expect(answer.rollouts).to.deep.include({ partial: true });
        expect(reports.asked).to.equal(askedBefore + 1);
        leads = false;
        expect(answerRenewal(request, parts)).to.deep.equal({ leading: false });
        expect(reports.asked).to.equal(askedBefore + 1);
    });

    // Guards against a share that outlives the time within which a bad version must get no request.
    it("hands out shares that end well within a short time for the rollback", async () => {
        createDirector({ ...rolloutDefaults, rollbackMs: 800 });
        await director.start();
        order();
        await run(3_000);
        const told = director.notices(undefined)?.services.app;
        expect(told?.share).to.be.above(0);
        expect(told?.validMs).to.be.at.most(400);
    });

    it("hands out no share without the duties, and goes on from the recorded step under a new leader", async () => {
        await director.start();
        order();
        await run(11_600);
        const step = rollout()?.step ?? 0;
        expect(step).to.be.above(0);
        leads = false;
        await run(400);
        expect(director.notices(undefined)?.services.app?.share).to.equal(undefined);
        await director.close();
        createDirector();
        leads = true;
        await director.start();
        await run(600);
        expect(rollout()?.step).to.be.at.least(step);
        expect(director.notices(undefined)?.services.app?.share).to.be.at.least(0.25);
        await run(8_000);
        expect(rollout()).to.include({ state: "completed" });
    });
});
