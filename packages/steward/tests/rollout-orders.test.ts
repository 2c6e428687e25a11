import type { Catalog } from "@lentilramp/catalog";
import type { Endpoint } from "@lentilramp/fleet";
import { type OrderOutcome, rolloutDefaults, type RolloutStatus } from "@lentilramp/rollouts";
import { ManualClock, MemoryEventLog } from "@lentilramp/runtime";
import {
    FleetCoordinator,
    RolloutOrders,
    type StewardCommand,
    type StewardCore,
    StewardState,
} from "@lentilramp/steward";
import { expect } from "chai";
import { type SimulatedSteward, StewardGroup } from "./steward-group.ts";

const order = { service: "app", target: "v2", durationMs: 60_000 };

describe("orders for roll-outs in a group of stewards", () => {
    let group: StewardGroup;

    beforeEach(async () => {
        group = new StewardGroup();
        await group.start(7, 3, 0, 1);
        await group.run(3_000);
    });

    afterEach(async () => {
        await Promise.all(group.stewards.map(steward => steward.stop()));
    });

    async function submit(steward: SimulatedSteward, target = "v2", service = "app"): Promise<OrderOutcome> {
        const pending = steward.operators.orderRollout({ ...order, target, service });
        await group.run(1_200);
        return await pending;
    }

    async function read(steward: SimulatedSteward): Promise<{ status: RolloutStatus | undefined; } | undefined> {
        const pending = steward.operators.readRollout("app");
        await group.run(1_200);
        return await pending;
    }

    const followers = (): SimulatedSteward[] => group.stewards.filter(steward => steward !== group.leader);

    // Guards against a confirmed order that a change of the leader, or the loss of all processes, undoes.
    it("are confirmed at any steward, and survive the leader and a restart of all", async () => {
        const [first, second] = followers();
        expect(await submit(first as SimulatedSteward)).to.deep.equal({ kind: "accepted", repeated: false });
        group.kill(group.leader as SimulatedSteward, () => false);
        await group.run(2_500);
        expect(await read(second as SimulatedSteward)).to.deep.equal({ status: { state: "running", target: "v2" } });
        const hosts = group.stewards.map(({ host }) => host);
        [...group.stewards].forEach(steward => group.kill(steward, () => false));
        for (const [i, host] of hosts.entries()) {
            await group.startAgain(host, 900 + i);
        }
        await group.run(3_000);
        for (const steward of group.stewards) {
            expect(await read(steward)).to.deep.equal({ status: { state: "running", target: "v2" } });
        }
    });

    it("are acknowledged again, refused for another target, and invalid for an unknown service", async () => {
        const [first, second] = followers() as [SimulatedSteward, SimulatedSteward];
        expect(await submit(first, "v2")).to.deep.equal({ kind: "accepted", repeated: false });
        expect(await submit(second, "v2")).to.deep.equal({ kind: "accepted", repeated: true });
        expect(await submit(group.leader as SimulatedSteward, "v2")).to.deep.equal({
            kind: "accepted",
            repeated: true,
        });
        expect(await submit(first, "v3")).to.deep.equal({ kind: "conflict", target: "v2" });
        expect((await submit(second, "v2", "unknown")).kind).to.equal("invalid");
    });

    // Guards against 200 for an order that only a minority holds, and against 400 for one that may be sent elsewhere.
    it("are not confirmed without a leader of a majority", async () => {
        const [first, second] = followers() as [SimulatedSteward, SimulatedSteward];
        group.cutOff.add((group.leader as SimulatedSteward).host);
        group.cutOff.add(second.host);
        await group.run(2_500);
        for (const steward of group.stewards) {
            expect((await submit(steward)).kind).to.equal("unavailable");
            expect(await read(steward)).to.equal(undefined);
        }
        group.cutOff.clear();
        await group.run(2_500);
        expect((await submit(first)).kind).to.equal("accepted");
    });
});

describe("orders for roll-outs at the leader", () => {
    let clock: ManualClock;
    let state: StewardState;
    let coordinator: FleetCoordinator;
    let orders: RolloutOrders;
    let services: Map<string, object>;

    beforeEach(() => {
        clock = new ManualClock(Date.now());
        state = new StewardState(() => undefined, () => undefined);
        coordinator = new FleetCoordinator(clock, 5_000);
        services = new Map([["app", {}]]);
        let index = 0;
        const core = {
            state,
            clock,
            log: new MemoryEventLog(),
            driver: { confirmRead: () => Promise.resolve() },
            propose: (command: StewardCommand) => Promise.resolve(state.apply(JSON.stringify(command), ++index)),
        } as unknown as StewardCore;
        orders = new RolloutOrders(core, coordinator, () => ({ services }) as unknown as Catalog, rolloutDefaults);
    });

    const versions = (version: string) => ({ since: 0, services: { app: { listed: [version], left: {} } } });

    // Guards against versions that still get requests after `completed`, because the leader knew of older ones only.
    it("name the versions that others have recorded since this steward last read the list", async () => {
        const old = { id: "e", service: "app", version: "v0" } as Endpoint;
        coordinator.updateEndpointList([old], clock.now(), 1);
        coordinator.versions = versions("v0");
        clock.advanceTo(clock.now() + 60_000);
        state.apply(JSON.stringify({ type: "versions", history: versions("v1") }), 1);
        await orders.submit(order);
        expect(state.rollouts.services.app?.previous).to.deep.equal(["v1"]);
    });

    // Guards against an order that waits for a list while the platform does not answer, and against versions that still
    // get requests after `completed`, because the recorded ones are none or outdated.
    it("await the next list if this steward has read none lately, and only then", async () => {
        await orders.submit(order);
        expect(state.rollouts.services.app).to.deep.include({ previous: [], awaitsList: true });
        state.apply(JSON.stringify({ type: "versions", history: versions("v1") }), 2);
        services.set("other", {});
        await orders.submit({ ...order, service: "other" });
        expect(state.rollouts.services.other).to.deep.include({ previous: [], awaitsList: true });
        coordinator.updateEndpointList([{ id: "e", service: "third", version: "v1" } as Endpoint], clock.now(), 1);
        coordinator.versions = { since: 0, services: { third: { listed: ["v1"], left: {} } } };
        services.set("third", {}).set("fourth", {});
        for (const [service, previous] of [["third", ["v1"]], ["fourth", []]] as const) {
            await orders.submit({ ...order, service });
            expect(state.rollouts.services[service]).to.deep.include({ previous });
            expect(state.rollouts.services[service]).not.to.have.property("awaitsList");
        }
    });

    // Guards against 400 for an order that was accepted, and whose confirmation was lost.
    it("are acknowledged again although the configuration has no such service any more", async () => {
        expect(await orders.submit(order)).to.deep.equal({ kind: "accepted", repeated: false });
        services.clear();
        expect(await orders.submit(order)).to.deep.equal({ kind: "accepted", repeated: true });
        expect((await orders.submit({ ...order, target: "v3" })).kind).to.equal("invalid");
    });
});
