import { type SyncAnswer, syncRequestSchema } from "@lentilramp/exchange";
import type { RpcServer } from "@lentilramp/protocol";
import { MemoryEventLog } from "@lentilramp/runtime";
import { attachStewardMethods, FleetCoordinator, StewardCore, type StewardParts } from "@lentilramp/steward";
import { expect } from "chai";
import { type SimulatedSteward, StewardGroup } from "./steward-group.ts";

/** Returns the answer of a steward to an ingress that has no catalog. */
async function syncWithout(group: StewardGroup, { driver, state }: SimulatedSteward): Promise<SyncAnswer> {
    const handlers = new Map<string, (params: unknown) => Promise<unknown>>();
    const server = {
        method: (...[name, , handler]: [string, unknown, (params: unknown) => Promise<unknown>]) =>
            handlers.set(name, handler),
    };
    const core = new StewardCore(driver, state, undefined as never, group.clock, new MemoryEventLog());
    attachStewardMethods(server as unknown as RpcServer, {
        core,
        state,
        coordinator: new FleetCoordinator(group.clock, 5_000),
        holdsDuties: () => state.isLeader,
    } as unknown as StewardParts);
    const address = { host: "10.0.1.1", port: 80 };
    return await handlers.get("fleet.sync")?.(syncRequestSchema.parse({
        ingress: { name: "i", ...address, inner: address, region: "r", failureDomain: "a", accepting: false },
        lifetime: "i/1",
        wallMs: 0,
        elapsedMs: 0,
        catalogVersion: -1,
        listNumber: 0,
        load: {},
        followsOthers: false,
        suspects: [],
        rosterTag: 0,
        usage: {},
        demand: {},
    })) as SyncAnswer;
}

describe("A steward that may have missed changes", () => {
    // Guards against an ingress that starts with a catalog older than one that was confirmed, and accepts keys that
    // were withdrawn since: it asked a steward that was cut off when the catalog changed.
    it("hands out no catalog while it is cut off, and the newest one after it has heard of it", async () => {
        const group = new StewardGroup();
        await group.start(1, 3, 0, 1);
        await group.run(3_000);
        await group.storeCatalog(1);
        const follower = group.stewards.find(steward => steward !== group.leader) as SimulatedSteward;
        expect((await syncWithout(group, follower)).catalog?.version).to.equal(1);
        group.cutOff.add(follower.host);
        await group.run(2_000);
        await group.storeCatalog(2);
        expect((await syncWithout(group, follower)).catalog).to.equal(undefined);
        expect((await syncWithout(group, group.leader as SimulatedSteward)).catalog?.version).to.equal(2);
        group.cutOff.clear();
        await group.run(2_000);
        expect((await syncWithout(group, follower)).catalog?.version).to.equal(2);
    });

    it("hands out no catalog after a restart of all stewards until one of them leads", async () => {
        const group = new StewardGroup();
        await group.start(2, 3, 0, 1);
        await group.run(3_000);
        await group.storeCatalog(1);
        await group.run(500);
        const follower = group.stewards.find(steward => steward !== group.leader) as SimulatedSteward;
        group.stewards.forEach(({ host }) => group.cutOff.add(host));
        const restarted = await group.restart(follower);
        await group.run(2_000);
        expect((await syncWithout(group, restarted)).catalog).to.equal(undefined);
        group.cutOff.clear();
        await group.run(3_000);
        expect((await syncWithout(group, restarted)).catalog?.version).to.equal(1);
    });
});

describe("Stewards that all restart", () => {
    // Guards against ingresses that wait for a catalog longer than needed: without leases nobody has to wait for the
    // promises of an earlier leader to end.
    it("have a leader within the longest election timeout", async () => {
        for (const seed of [1, 2, 3, 4, 5]) {
            const group = new StewardGroup();
            await group.start(seed, 3, 0, 1);
            await group.run(3_000);
            await group.storeCatalog(1);
            for (const [i, steward] of [...group.stewards].entries()) {
                await group.restart(steward, seed * 10 + i);
            }
            await group.run(900);
            expect(group.leader?.state.catalog?.version).to.equal(1);
        }
    });
});
