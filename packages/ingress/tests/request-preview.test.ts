import type { DispatchRequest } from "@lentilramp/dispatch";
import { type WhereAnswer, whereAnswerSchema, type WhereRequest, whereRequestSchema } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import { RequestPreview } from "@lentilramp/ingress";
import { RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { inspect } from "node:util";
import { testCatalog, testRoute, testWorkspace } from "../../catalog/tests/fixtures.ts";
import type { AdmittedRequest } from "../src/admission.ts";
import { EndpointSelection } from "../src/endpoint-selection.ts";
import { startedAt, syncAnswer, testEndpoint, unconnectedIngress } from "./unconnected-ingress.ts";

const catalog = testCatalog({
    routes: [
        testRoute({ rank: 1 }),
        testRoute({ name: "prompts", pathPrefix: "/prompts/", targets: [{ service: "model", weight: 1 }] }),
        testRoute({
            name: "split",
            pathPrefix: "/split/",
            targets: [{ service: "app", weight: 1 }, { service: "model", weight: 3 }],
        }),
    ],
    workspaces: [testWorkspace(), testWorkspace({ name: "urgent", keys: ["key-2"], rank: 0 })],
});

function endpoint(id: string, overrides: Partial<Endpoint> = {}): Endpoint {
    return testEndpoint({ id, service: "app", version: "v1", ...overrides });
}

const endpoints = [
    ...["plain-1", "plain-2", "slow", "full", "paused", "leaving", "limited"].map(id => endpoint(id)),
    endpoint("new", { version: "v2" }),
    endpoint("not-ready", { ready: false }),
    ...["engine-1", "engine-2", "engine-3"].map(id => endpoint(id, { service: "model", version: undefined })),
];

/** An ingress without a network that has synced once; without a catalog if `hasCatalog` is false. */
function ingress(hasCatalog = true) {
    const syncs: (number | undefined)[] = [];
    const { name, clock, view, versions, relay } = unconnectedIngress(catalog, new SeededRandom(7), {
        requestSync: intervalMs => void syncs.push(intervalMs),
        nextSyncAt: () => startedAt + 250,
    });
    const preview = new RequestPreview(relay, name);
    const confirm = (permits?: Record<string, number>): void =>
        view.applySyncAnswer(
            syncAnswer({ permits, catalog: hasCatalog ? { version: 1, text: "" } : undefined }),
            clock.now(),
        );
    const describe = (req: Partial<WhereRequest> = {}): WhereAnswer =>
        // As a caller of the method reads it.
        whereAnswerSchema.parse(
            JSON.parse(JSON.stringify(preview.describe(whereRequestSchema.parse({ route: "r", ...req })))),
        );
    /** All that the ingress knows, its clock's timers, draws, counters, log lines and requested syncs. */
    const state = (): string => inspect([relay, versions, syncs], { depth: Infinity, maxArrayLength: Infinity });
    confirm();
    view.applyEndpointList(endpoints, clock.now(), 1);
    return { clock, view, versions, relay, describe, state, confirm };
}

function dispatchRequest(now: number, overrides: Partial<DispatchRequest> = {}): DispatchRequest {
    return {
        id: "attempt",
        service: "app",
        workspace: "w",
        rank: 1,
        arrivedAt: now,
        targetAt: now + 400,
        deadline: now + 3_000,
        work: undefined,
        ...overrides,
    };
}

/** Brings an ingress into a state in which each rule leaves out an endpoint; requests reach v2 by a share of 0.3. */
function troubled() {
    const parts = ingress();
    const { clock, view, versions, relay } = parts;
    const { pace } = relay.latencyModel("app");
    for (const { id, service } of endpoints.filter(({ service }) => service === "app")) {
        pace?.recordReport(id, id === "slow" ? 700 : 100);
        Array.from({ length: 8 }).forEach(() => pace?.observe(id, id === "slow" ? 560 : 80, 80));
        pace?.observeConcurrency(id, 4, 1, 80, 80);
        relay.roomGate.recordPace(service);
    }
    view.loads.applyPeerLoad("peer", [["full", { running: 6, unreadTokens: 0 }]], true);
    view.health.pause("paused", clock.now() + 60_000);
    view.endpoints.markLeaving("leaving");
    view.limits.recordAnswer({ id: "limited", service: "app", startedAt: undefined }, 0.001, clock.now(), clock.now());
    versions.apply({
        leading: true,
        rollouts: {
            revision: 1,
            partial: false,
            services: {
                app: {
                    state: "running",
                    target: "v2",
                    orderedAt: 1_000,
                    barred: [],
                    closed: false,
                    share: 0.3,
                    ageMs: 0,
                    validMs: 60_000,
                },
            },
        },
    }, clock.now());
    const room = { app: { ranks: [[1, 0.6] as [number, number]], workspaces: [], clearMs: 500 } };
    relay.roomGate.applyAnswer({ leading: true, stewards: [], members: 1, room }, clock.now());
    // The summaries of the estimates and the count of taken slots are out of date by then.
    clock.advanceTo(clock.now() + 100);
    return parts;
}

describe("RequestPreview", () => {
    it("names for each endpoint why it is excluded or ranked lower", () => {
        const { describe } = troubled();
        const { cases } = describe();
        const verdicts = cases.map(({ rollout, endpoints: listed }) => [
            rollout,
            Object.fromEntries(listed.map(({ id, verdict }) => [id, verdict])),
        ]);
        const always = { leaving: "leaving", limited: "endpoint-limit", "not-ready": "not-ready", paused: "paused" };
        expect(verdicts).to.deep.equal([
            ["target", {
                ...always,
                new: "may-be-chosen",
                full: "version-not-preferred",
                "plain-1": "version-not-preferred",
                "plain-2": "version-not-preferred",
                slow: "version-not-preferred",
            }],
            ["others", {
                ...always,
                new: "version",
                full: "full",
                "plain-1": "may-be-chosen",
                "plain-2": "may-be-chosen",
                slow: "late",
            }],
        ]);
        expect(cases.map(({ share }) => share)).to.deep.equal([0.3, 0.7]);
        expect(cases.map(({ decision }) => decision.kind)).to.deep.equal(["send", "send"]);
    });

    it("reports level, load, estimates and predictions", () => {
        const { describe } = troubled();
        const [, others] = describe().cases;
        expect(others?.level).to.deep.equal({
            admittedShare: 0.6,
            ranks: [[1, 0.6]],
            clearMs: 500,
            ageMs: 100,
            applies: false,
        });
        const slow = others?.endpoints.find(({ id }) => id === "slow");
        expect(slow?.estimate?.factor).to.be.above(3);
        expect(slow?.estimate?.ageMs).to.equal(100);
        expect(slow?.prediction?.firstByteMs).to.be.above(240);
        expect(others?.endpoints.find(({ id }) => id === "full")).to.deep.include({
            running: 6,
            slots: 4,
            version: "v1",
        });
        expect(describe({ workspace: "urgent" })).to.deep.include({ rank: 0, workspace: "urgent" });
        expect(describe({ workspace: "urgent", rank: 2 }).rank).to.equal(2);
        expect(describe({ rank: 0 }).cases[0]?.level?.admittedShare).to.equal(1);
    });

    it("reports that the level applies once the service is loaded", () => {
        const { describe, view } = troubled();
        view.loads.applyPeerLoad("peer", endpoints.map(({ id }) => [id, { running: 4, unreadTokens: 0 }]), true);
        expect(describe().cases.map(({ level }) => level?.applies)).to.deep.equal([true, true]);
    });

    // Guards against a report that departs from what is done: the endpoints named must be those that are chosen.
    for (const route of ["r", "prompts"]) {
        it(`names the endpoints that requests of the route ${route} are sent to`, async () => {
            const { clock, relay, describe } = troubled();
            const prompt = { parts: [{ id: "p", tokens: 900 }, { id: "own", tokens: 90 }], promptTokens: 990 };
            const { cases } = describe({ route, ...route === "r" ? {} : prompt });
            const work = route === "r" ? undefined : { ...prompt, maxOutputTokens: 0, outputTokens: 0 };
            const chosen = new Set<string>();
            const count = 2_000;
            let toNew = 0;
            for (let i = 0; i < count; i++) {
                const dispatch = dispatchRequest(clock.now(), { service: route === "r" ? "app" : "model", work });
                const admitted = { dispatch, suspects: undefined, origin: undefined } as AdmittedRequest;
                const hooks = { onFirstDecision: () => undefined, onChoice: () => undefined };
                const outcome = await new EndpointSelection(admitted, relay, hooks, () => []).selectFirst();
                const id = outcome.kind === "send" ? outcome.choice.endpoint.id : outcome.kind;
                chosen.add(id);
                toNew += id === "new" ? 1 : 0;
            }
            const named = cases.flatMap(entry => entry.endpoints).filter(({ verdict }) => verdict === "may-be-chosen");
            expect(named.map(({ id }) => id).sort()).to.deep.equal([...chosen].sort());
            expect(toNew / count).to.be.closeTo(cases.find(({ rollout }) => rollout === "target")?.share ?? 0, 0.04);
        });
    }

    // Guards against a look at the state that changes it: draws, counters, caches, estimates, permits, log lines, syncs.
    it("changes nothing", () => {
        const { clock, relay, describe, state } = troubled();
        const prompt = { parts: [{ id: "p", tokens: 900 }, { id: "own", tokens: 90 }], promptTokens: 990 };
        const requests: Partial<WhereRequest>[] = [
            {},
            { workspace: "w", rank: 2 },
            { workspace: "urgent", sizeBytes: 5_000_000 },
            { route: "prompts", ...prompt },
            { route: "split", ...prompt },
        ];
        const wait = { kind: "wait", waitUntil: clock.now() + 400 } as const;
        // Only estimated services have a model so far; a queue with one request gives the others something to count.
        relay.queue("model").submit(dispatchRequest(clock.now(), { service: "model" }), () => wait, () => undefined);
        for (let round = 0; round < 3; round++) {
            const before = state();
            const first = requests.map(describe);
            expect(requests.map(describe)).to.deep.equal(first);
            expect(state()).to.equal(before);
            clock.advanceTo(clock.now() + 7);
        }
        const [{ queuedAhead } = { queuedAhead: undefined }] = describe({ route: "prompts", rank: 2 }).cases;
        expect(queuedAhead).to.equal(1);
        const before = state();
        relay.dispatcher.choose(
            dispatchRequest(clock.now()),
            relay.candidates("app"),
            relay.latencyModel("app"),
            clock.now(),
        );
        // The comparison sees what one decision changes.
        expect(state()).not.to.equal(before);
    });

    // Guards against a preview that asks for permits, or takes turns, that requests need.
    it("reports that the only endpoints have reached their limit, and asks for no permit", () => {
        const { clock, view, describe, state, confirm } = ingress();
        for (const { id, service } of endpoints) {
            if (service === "model") {
                view.limits.recordAnswer({ id, service, startedAt: undefined }, 0.001, clock.now(), clock.now());
            }
        }
        for (const kind of ["refuse", "wait"]) {
            const before = state();
            const [only] = describe({ route: "prompts" }).cases;
            expect(only?.decision).to.deep.include({ kind, reason: "endpoint-limit" });
            expect(only?.endpoints.map(({ verdict }) => verdict)).to.deep.equal(Array(3).fill("endpoint-limit"));
            expect(only?.choice).to.equal(undefined);
            expect(state()).to.equal(before);
            // The leader, once it is heard, may grant permits that have not been asked for yet.
            confirm({});
            clock.advanceTo(clock.now() + 10);
        }
    });

    it("reports each service of a route with its part of the requests", () => {
        const { describe } = ingress();
        const { cases } = describe({ route: "split" });
        expect(cases.map(({ service, share }) => ({ service, share }))).to.deep.equal([
            { service: "app", share: 0.25 },
            { service: "model", share: 0.75 },
        ]);
    });

    // Guards against an answer that is too large to be read, and against one that hides that it is not whole.
    it("lists at most 1,000 endpoints, those that are ranked first, and counts the others", () => {
        const { clock, view, describe } = ingress();
        const leaving = Array.from({ length: 300 }, (...[, i]) => endpoint(`off-${i}`, { ready: false }));
        const ready = Array.from({ length: 900 }, (...[, i]) => endpoint(`on-${i}`));
        view.applyEndpointList([...leaving, ...ready], clock.now() + 1, 2);
        const [only] = describe().cases;
        expect(only?.endpoints.filter(({ verdict }) => verdict === "may-be-chosen")).to.have.lengthOf(900);
        expect(only?.endpoints.filter(({ verdict }) => verdict === "not-ready")).to.have.lengthOf(100);
        expect(only?.omitted).to.equal(200);
    });

    it("reports refusals that come before the choice of an endpoint", () => {
        const { clock, view, relay, describe } = ingress();
        expect(describe().refusal).to.equal(undefined);
        expect(describe({ sizeBytes: 1_000_001 }).refusal).to.deep.equal({ status: 413, reason: "body too large" });
        view.crashes?.applyBlocked([{ part: "p" }]);
        const parts = [{ id: "p", tokens: 1 }, { id: "own", tokens: 1 }];
        expect(describe({ route: "prompts", parts }).refusal?.reason).to.equal("prompt part crashes engines");
        clock.advanceTo(clock.now() + 10_000);
        expect(describe()).to.deep.include({
            ingress: { name: "ingress", ready: false, stopping: false, cutOff: false },
        });
        expect(describe().refusal).to.deep.include({ status: 503, reason: "catalog not confirmed" });
        relay.startDraining(clock.now());
        clock.advanceTo(clock.now() + 2_000);
        expect(describe().refusal).to.deep.include({ status: 503, reason: "stopping" });
        expect(describe().ingress.stopping).to.equal(true);
    });

    it("rejects names that the configuration does not contain, and requests before there is one", () => {
        const { describe } = ingress();
        const errorOf = (action: () => unknown): unknown => {
            try {
                return action();
            }
            catch (err) {
                return err instanceof RpcError ? { message: err.message, code: err.code } : err;
            }
        };
        expect(errorOf(() => describe({ route: "none" }))).to.deep.equal({
            message: "unknown route none; configuration 1 has no such route",
            code: rpcErrorCodes.invalidRequest,
        });
        expect(errorOf(() => describe({ workspace: "none" }))).to.deep.equal({
            message: "unknown workspace none; configuration 1 has no such workspace",
            code: rpcErrorCodes.invalidRequest,
        });
        expect(errorOf(() => ingress(false).describe())).to.deep.equal({
            message: "the ingress has no configuration yet",
            code: rpcErrorCodes.unavailable,
        });
    });
});
