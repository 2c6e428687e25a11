import {
    allowedOf,
    bestChoice,
    type DispatchDecision,
    type DispatchRequest,
    type EndpointChoice,
    type QueueOutcome,
} from "@lentilramp/dispatch";
import { type Endpoint, versionOf } from "@lentilramp/fleet";
import type { RolloutNotice } from "@lentilramp/rollouts";
import { expect } from "chai";
import { testRoute } from "../../catalog/tests/fixtures.ts";
import { countReads } from "../../dispatch/tests/count-reads.ts";
import type { AdmittedRequest } from "../src/admission.ts";
import { EndpointSelection } from "../src/endpoint-selection.ts";
import { type FleetOptions, SelectionFleet, slots } from "./selection-fleet.ts";

interface Selector {
    first: () => Promise<QueueOutcome<Endpoint>>;
    again: (excluded: string) => EndpointChoice<Endpoint> | undefined;
    best: () => EndpointChoice<Endpoint> | undefined;
}

function select(
    fleet: SelectionFleet,
    dispatch: DispatchRequest,
    parked: readonly string[],
    version?: string,
): Selector {
    let best: EndpointChoice<Endpoint> | undefined;
    const origin = version === undefined ? undefined : { service: dispatch.service, version };
    const selection = new EndpointSelection(
        { dispatch, origin, route: testRoute() } as unknown as AdmittedRequest,
        fleet.relay,
        { onFirstDecision: choice => best = choice, onChoice: choice => fleet.serve(choice, dispatch) },
        () => parked,
    );
    return {
        first: async () => {
            const outcome = selection.selectFirst();
            // A request that waits is not decided again.
            selection.leave();
            return await outcome;
        },
        again: excluded => {
            selection.exclude(excluded);
            const outcome = selection.selectAnother({ mayHaveRun: true, mayAskOther: true });
            return outcome.kind === "send" ? outcome.choice : undefined;
        },
        best: () => best,
    };
}

/** Chooses as ingresses did before lists were kept: each decision filters all ready endpoints of the service. */
function selectByFilter(
    fleet: SelectionFleet,
    dispatch: DispatchRequest,
    parked: readonly string[],
    version?: string,
): Selector {
    const { view, relay, clock } = fleet;
    const versions = fleet.versions.forRequest(dispatch.service);
    const excluded = new Set<string>();
    const now = clock.now();
    const model = relay.latencyModel(dispatch.service);
    const mayUse = (entry: Endpoint): boolean =>
        (version === undefined || version === versionOf(entry)) && versions.mayUse(entry, version);
    const usable = (): readonly Endpoint[] => {
        const share = relay.maxIdleConnections(dispatch.service);
        return view.endpoints.readyEndpoints(dispatch.service)
            .filter(({ id }) => view.loads.localRunning(id) < share && view.limits.maySend(id, now))
            .filter(mayUse);
    };
    let best: EndpointChoice<Endpoint> | undefined;
    const decide = (): DispatchDecision<Endpoint> => {
        if (version !== undefined && !view.endpoints.readyEndpoints(dispatch.service).some(mayUse)) {
            return { kind: "refuse", reason: "no-endpoint-of-version", retryAfterMs: 500 };
        }
        const all = usable();
        const preferred = versions.prefer(all, ({ id, slots: of }) => view.loads.load(id, now).running < of);
        const decideAmong = (among: readonly Endpoint[]): DispatchDecision<Endpoint> =>
            relay.dispatcher.decide(dispatch, among, model, now, excluded, 0);
        const first = decideAmong(preferred);
        const decision = first.kind === "send" || preferred.length === all.length ? first : decideAmong(all);
        best = bestChoice(decision);
        const limited = decision.kind === "refuse" && decision.reason === "no-endpoint"
            ? relay.limitGate.decide(dispatch, excluded, mayUse)
            : undefined;
        return limited ?? decision;
    };
    return {
        first: async () => {
            view.limits.recordRequest(dispatch.service);
            const decision = decide();
            if (decision.kind === "send") {
                fleet.serve(decision.choice, dispatch);
            }
            return decision.kind === "wait" ? { kind: "left" } : decision;
        },
        again: id => {
            excluded.add(id);
            const candidates = usable().filter(other => !parked.includes(other.id));
            const choice = relay.dispatcher.choose(dispatch, candidates, model, now, excluded);
            if (choice !== undefined) {
                fleet.serve(choice, dispatch);
            }
            else {
                relay.limitGate.decide(dispatch, excluded, mayUse);
            }
            return choice;
        },
        best: () => best,
    };
}

const describeChoice = (choice: EndpointChoice<Endpoint> | undefined): string =>
    [choice?.endpoint.id, choice?.running, choice?.onTime, choice?.prediction.firstByteMs.toFixed(6)].join(" ");

/** Returns what becomes of some requests while the fleet changes, and a number that shows what has been drawn. */
async function run(fleetOptions: FleetOptions, selectorOf: typeof select, steps: number): Promise<string[]> {
    const fleet = new SelectionFleet(fleetOptions);
    const lines: string[] = [];
    for (let i = 0; i < steps; i++) {
        fleet.change();
        const parked = fleet.random.next() < 0.2 ? [fleet.anyId()] : [];
        const version = fleet.random.next() < 0.1 ? "v1" : undefined;
        const selector = selectorOf(fleet, fleet.request(), parked, version);
        const outcome = await selector.first();
        const delay = outcome.kind === "refuse" ? `${outcome.reason} ${outcome.retryAfterMs.toFixed(6)}` : "";
        lines.push([outcome.kind, describeChoice(selector.best()), delay].join(" "));
        if (outcome.kind === "send" && fleet.random.next() < 0.3) {
            lines.push(`again ${describeChoice(selector.again(outcome.choice.endpoint.id))}`);
        }
    }
    return [...lines, `drawn ${fleet.drawn.next()}`];
}

describe("EndpointSelection before up to 192 endpoints", () => {
    for (const service of ["app", "model"] as const) {
        // Guards against a service of today's size that chooses other endpoints, or draws other numbers, than before.
        it(`chooses as from a list that is filtered for each decision, service ${service}`, async () => {
            const kinds = new Set<string>();
            for (const endpoints of [1, 2, 3, 12, 64, 191, 192]) {
                for (const seed of [1, 2, 3]) {
                    const lines = await run({ endpoints, service, seed }, select, 120);
                    expect(lines).to.deep.equal(await run({ endpoints, service, seed }, selectByFilter, 120));
                    lines.forEach(line => kinds.add(line.split(" ")[0] ?? ""));
                }
            }
            expect([...kinds].sort()).to.deep.equal(["again", "drawn", "left", "refuse", "send"]);
        });
    }

    // Guards against work for each request that only services with many endpoints need.
    it("creates no tables of versions and no further copies of the list for a request", async () => {
        const fleet = new SelectionFleet({ endpoints: 192, service: "app", seed: 1 });
        fleet.tell({ share: 0.5 });
        const createdMaps: WeakMap<object, unknown>[] = [];
        const { WeakMap: original } = globalThis;
        globalThis.WeakMap = class<K extends object, V> extends original<K, V> {
            constructor() {
                super();
                createdMaps.push(this);
            }
        };
        try {
            const dispatch = { ...fleet.request(), targetAt: fleet.clock.now() + 2_000 };
            expect((await select(fleet, dispatch, []).first()).kind).to.equal("send");
        }
        finally {
            globalThis.WeakMap = original;
        }
        expect(createdMaps.length).to.equal(0);
        const pool = fleet.relay.candidatePool("app", () => true);
        expect(pool.list.length).to.equal(192);
        expect(allowedOf(pool)).to.equal(pool.list);
    });
});

/** Changes after which an endpoint must not be chosen any more. */
const changes: Record<string, (fleet: SelectionFleet, id: string) => void> = {
    "announces that it leaves": ({ view }, id) => void view.endpoints.markLeaving(id),
    "leaves the list": (fleet, id) => {
        fleet.left.add(id);
        fleet.applyList();
    },
    "is ejected": (fleet, id) => fleet.eject(id),
    "pauses": ({ view, clock }, id) => view.health.pause(id, clock.now() + 60_000),
    "has no permits": (fleet, id) => fleet.exhaustLimit(id),
    "has this ingress's share of connections": (fleet, id) => fleet.fillConnections(id, true),
};

/** Choices for one request: two for the first attempt, among those of the target and among all, and one for the second. */
const maxChoices = 3;
/** Looks at endpoints for one choice: four draws of each of 32, and one before each of these or of nine more is scored. */
const maxLooks = 4 * 32 + 2 * (32 + 9);

describe("EndpointSelection before more than 192 endpoints", () => {
    for (const [change, apply] of Object.entries(changes)) {
        // Guards against an endpoint that is chosen because a list, an index or a search of before still has it.
        it(`chooses no endpoint any more once it ${change}`, async () => {
            for (const seed of [1, 2, 3]) {
                const fleet = new SelectionFleet({ endpoints: 600, service: "app", seed });
                const { view, clock } = fleet;
                // Only these are free, so that each search names them.
                const free = new Set(["e5", "e100", "e250", "e599"]);
                const load = (id: string) => ({ running: free.has(id) ? 0 : slots + 1, unreadTokens: 0 });
                view.loads.applyPeerLoad("peer", fleet.all.map(({ id }) => [id, load(id)]), true);
                const send = async (): Promise<string> => {
                    const dispatch = { ...fleet.request(), rank: 0, targetAt: clock.now() + 2_000 };
                    const outcome = await select(fleet, dispatch, []).first();
                    return outcome.kind === "send" ? outcome.choice.endpoint.id : outcome.kind;
                };
                while (free.size > 0) {
                    const sent = [await send(), await send()];
                    expect(sent.filter(id => !free.has(id))).to.deep.equal([]);
                    const [gone = ""] = sent;
                    apply(fleet, gone);
                    free.delete(gone);
                    expect(await send()).to.satisfy((id: string) => free.has(id) || free.size === 0 && id === "left");
                    // The requests that were sent have ended by then, and an ejection lasts for a second.
                    clock.advanceTo(clock.now() + 330);
                    if (change === "is ejected") {
                        view.health.pause(gone, clock.now() + 60_000);
                    }
                }
                expect(await send()).to.equal("left");
            }
        });
    }

    const notices: readonly [string, Partial<RolloutNotice>, string][] = [
        ["v1", { state: "completed", barred: ["v1"] }, "a completed roll-out"],
        ["v1", { share: 1 }, "a roll-out of which all requests are part"],
        ["v2", { state: "rolled_back", barred: ["v2"] }, "a roll-back"],
        ["v2", { share: 0 }, "a roll-out without a share"],
    ];
    for (const [version, news, title] of notices) {
        // Guards against requests to a version that a roll-out has barred, from a list that is kept of before.
        it(`sends nothing to ${version} after ${title}, first or again`, async () => {
            for (const endpoints of [300, 900]) {
                const fleet = new SelectionFleet({ endpoints, service: "app", seed: 4 });
                const send = async (): Promise<string[]> => {
                    const selector = select(fleet, fleet.request(), []);
                    const outcome = await selector.first();
                    if (outcome.kind !== "send") {
                        return [];
                    }
                    const again = selector.again(outcome.choice.endpoint.id);
                    fleet.clock.advanceTo(fleet.clock.now() + 100);
                    return [outcome.choice.endpoint, ...again === undefined ? [] : [again.endpoint]].map(versionOf);
                };
                const sendMany = async (): Promise<string[]> => {
                    const versions: string[] = [];
                    for (let i = 0; i < 100; i++) {
                        versions.push(...await send());
                    }
                    return versions;
                };
                fleet.tell({ share: 0.5 });
                expect(new Set(await sendMany())).to.deep.equal(new Set(["v1", "v2"]));
                fleet.tell(news);
                const other = version === "v1" ? "v2" : "v1";
                expect(new Set(await sendMany())).to.deep.equal(new Set([other]));
            }
        });
    }

    // Guards against requests that the roll-out lets go to the target and that stay at the old version.
    it("sends the requests that may use the target there, while its endpoints have free slots", async () => {
        const fleet = new SelectionFleet({ endpoints: 900, service: "app", seed: 5, newEvery: 2 });
        const report = (running: (version: string) => number): void =>
            fleet.view.loads.applyPeerLoad(
                "peer",
                fleet.all.map(entry => [entry.id, { running: running(versionOf(entry)), unreadTokens: 0 }]),
                true,
            );
        const countNew = async (): Promise<number> => {
            let toNew = 0;
            for (let i = 0; i < 400; i++) {
                const outcome = await select(fleet, { ...fleet.request(), targetAt: fleet.clock.now() + 600 }, [])
                    .first();
                toNew += outcome.kind === "send" && versionOf(outcome.choice.endpoint) === "v2" ? 1 : 0;
                fleet.clock.advanceTo(fleet.clock.now() + 50);
            }
            return toNew;
        };
        fleet.tell({ share: 0.25 });
        report(version => version === "v2" ? slots - 1 : 0);
        expect(await countNew()).to.be.within(75, 125);
        report(version => version === "v2" ? slots : 0);
        expect(await countNew()).to.equal(0);
    });

    for (const service of ["app", "model"] as const) {
        // Guards against choices from a view of before, in any order of changes.
        it(`chooses only endpoints that a filter of all of them would leave, service ${service}`, async () => {
            let sent = 0;
            for (const [endpoints, newEvery] of [[200, 2], [300, 20], [700, 2], [700, 50]] as const) {
                for (const seed of [1, 2, 3]) {
                    const fleet = new SelectionFleet({ endpoints, service, seed, newEvery });
                    const { view, relay } = fleet;
                    for (let i = 0; i < 250; i++) {
                        fleet.change();
                        const now = fleet.clock.now();
                        const share = relay.maxIdleConnections(service);
                        const parked = [fleet.anyId()];
                        const version = fleet.random.next() < 0.1 ? "v1" : undefined;
                        const mayBeSent = (): Set<string> =>
                            new Set(
                                view.endpoints.readyEndpoints(service).filter(entry =>
                                    view.loads.localRunning(entry.id) < share
                                    && view.limits.maySend(entry.id, now) && view.health.isUsable(entry.id, now)
                                    && fleet.mayUse(versionOf(entry), version)
                                ).map(({ id }) => id),
                            );
                        const before = mayBeSent();
                        const selector = select(fleet, fleet.request(), parked, version);
                        const outcome = await selector.first();
                        if (outcome.kind !== "send") {
                            continue;
                        }
                        const { id } = outcome.choice.endpoint;
                        expect(before.has(id)).to.equal(true);
                        const then = mayBeSent();
                        const again = selector.again(id)?.endpoint.id;
                        expect(again === undefined || then.has(again) && again !== id && !parked.includes(again))
                            .to.equal(true);
                        sent++;
                    }
                }
            }
            expect(sent).to.be.above(1_000);
        });

        // Guards against an ingress that filters 7,400 endpoints for each request: 0.8% of a core at 30 a second.
        it(`looks at no more endpoints of 8,000 than of 500 for a request, service ${service}`, async () => {
            for (const rollout of [undefined, { share: 0.5 }]) {
                for (const endpoints of [500, 2_000, 8_000]) {
                    const fleet = new SelectionFleet({ endpoints, service, seed: 6, newEvery: 2 });
                    const ready = countReads(fleet.view.endpoints.readyEndpoints(service));
                    fleet.view.endpoints.readyEndpoints = () => ready.counted;
                    if (rollout !== undefined) {
                        fleet.tell(rollout);
                    }
                    let looks = 0;
                    const { limits, loads } = fleet.view;
                    const [maySend, load] = [limits.maySend.bind(limits), loads.load.bind(loads)];
                    limits.maySend = (...args) => {
                        looks++;
                        return maySend(...args);
                    };
                    loads.load = (...args) => {
                        looks++;
                        return load(...args);
                    };
                    for (let i = 0; i < 100; i++) {
                        looks = 0;
                        ready.takeReads();
                        const dispatch = { ...fleet.request(), targetAt: fleet.clock.now() + 2_000 };
                        const selector = select(fleet, dispatch, []);
                        const outcome = await selector.first();
                        expect(outcome.kind).to.equal("send");
                        selector.again(outcome.kind === "send" ? outcome.choice.endpoint.id : "");
                        expect(looks).to.be.within(1, maxChoices * maxLooks);
                        // The first requests index the list and its parts, and assign prompts.
                        expect(i < 20 || ready.takeReads() <= maxChoices * 4 * 32).to.equal(true);
                        fleet.clock.advanceTo(fleet.clock.now() + 33);
                    }
                }
            }
        });
    }
});
