import { syncRequest } from "@lentilramp/bench";
import { type EndpointSource, originAnswerSchema } from "@lentilramp/exchange";
import type { Endpoint, VersionHistory } from "@lentilramp/fleet";
import { ManualClock, MemoryEventLog } from "@lentilramp/runtime";
import {
    attachStewardMethods,
    type DutyCalls,
    FleetCoordinator,
    PlatformDuties,
    type StewardCommand,
    type StewardCore,
    type StewardOptions,
    type StewardParts,
} from "@lentilramp/steward";
import { expect } from "chai";

const term = 3;

function endpoint(version: string): Endpoint {
    const place = { host: "10.0.0.1", port: 80, failureDomain: "a", slots: 4, ready: true, reclaimable: false };
    return { id: `app-${version}`, service: "app", version, ...place };
}

/** A leading steward whose replicated state is that of this test alone. */
class Leader {
    readonly clock = new ManualClock(100_000);
    readonly coordinator = new FleetCoordinator(this.clock, 5_000);
    listed: Endpoint[] = [endpoint("v1")];
    /** What becomes of commands and confirmations: they succeed, fail, or wait. */
    majority: "answers" | "refuses" | "is silent" = "answers";
    private recorded: VersionHistory | undefined;
    private readonly duties: PlatformDuties;
    private readonly core: StewardCore;

    constructor() {
        const { clock } = this;
        const state = {
            isLeader: true,
            currentTerm: term,
            catalog: undefined,
            rollouts: { rollouts: [] },
        };
        Object.defineProperty(state, "versions", { get: () => this.recorded });
        this.core = {
            state,
            clock,
            propose: async (command: StewardCommand) => {
                await this.askMajority();
                this.recorded = command.type === "versions" ? command.history : this.recorded;
                return { fence: 1, heldBefore: false };
            },
            confirmLeadership: () => this.askMajority(),
        } as unknown as StewardCore;
        const source = { read: async () => this.listed } as unknown as EndpointSource;
        const options = { name: "core-1", dutyLeaseMs: 0 } as unknown as StewardOptions;
        const calls = {} as unknown as DutyCalls;
        const { coordinator } = this;
        this.duties = new PlatformDuties(
            this.core,
            coordinator,
            source,
            calls,
            () => undefined,
            options,
            clock,
            new MemoryEventLog(),
        );
    }

    async start(): Promise<void> {
        await this.duties.start();
        await this.run(1_000);
    }

    async close(): Promise<void> {
        await this.duties.close();
    }

    async run(ms: number): Promise<void> {
        for (const end = this.clock.now() + ms; this.clock.now() < end;) {
            this.clock.advanceTo(this.clock.now() + 50);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Versions in the list that ingresses get. */
    get givenOut(): string[] {
        const { list } = this.coordinator.sync(syncRequest("front-1"));
        return (list?.endpoints ?? []).map(({ version = "" }) => version);
    }

    /** The only version that this steward names for a stream of which it does not know. */
    async claim(): Promise<string | undefined> {
        const methods = new Map<string, (params: unknown) => Promise<unknown>>();
        const server = {
            method: (name: string, ...rest: unknown[]) => methods.set(name, rest.at(-1) as () => Promise<unknown>),
        };
        const parts = { core: this.core, coordinator: this.coordinator, holdsDuties: () => this.duties.holdsDuties };
        attachStewardMethods(server as never, parts as unknown as StewardParts);
        const answer = methods.get("fleet.origins")?.({ keys: ["unknown"], services: ["app"] });
        await this.run(300);
        return originAnswerSchema.parse(await answer).single.app;
    }

    private askMajority(): Promise<void> {
        switch (this.majority) {
            case "answers":
                return Promise.resolve();
            case "refuses":
                return Promise.reject(new Error("not the leader"));
            case "is silent":
                return new Promise(() => undefined);
        }
    }
}

describe("claims of a leading steward about versions", () => {
    let leader: Leader;

    beforeEach(async () => {
        leader = new Leader();
        await leader.start();
    });

    afterEach(async () => {
        await leader.close();
    });

    it("names the only version of a service", async () => {
        expect(leader.givenOut).to.deep.equal(["v1"]);
        expect(await leader.claim()).to.equal("v1");
    });

    // Guards against a version that ingresses use and that the next leader, with an older list, does not know.
    for (const majority of ["refuses", "is silent"] as const) {
        it(`gives no version out that is not recorded, while a majority ${majority}`, async () => {
            leader.majority = majority;
            leader.listed = [endpoint("v1"), endpoint("v2")];
            await leader.run(2_000);
            expect(leader.givenOut).to.deep.equal(["v1"]);
            expect(await leader.claim(), "no claim any more").to.equal(undefined);
            leader.majority = "answers";
            await leader.run(1_000);
            expect(leader.givenOut).to.deep.equal(["v1", "v2"]);
        });

        // Guards against a leader that was held and has a successor, whose list shows another version.
        it(`names no version while a majority ${majority}`, async () => {
            leader.majority = majority;
            expect(await leader.claim()).to.equal(undefined);
        });
    }
});
