import { RouteTable } from "@lentilramp/catalog";
import type { OriginAnswer } from "@lentilramp/exchange";
import { originKey } from "@lentilramp/fleet";
import { expect } from "chai";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { type Answer, type CallerAnswer, IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

const events = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));
const head = (id: unknown): Record<string, string> => ({ "x-attempt-id": String(id), "x-response-seal": "s" });

/** Answers with the events behind the one from which the stream is resumed. */
const whole: Answer = (req, res) => {
    res.writeHead(200, head(req.headers["x-attempt-id"]));
    res.end(events.slice(Number(req.headers["last-event-id"] ?? 0)).join(""));
};
/** Breaks off after the first event. */
const breaking: Answer = async (req, res) => {
    res.writeHead(200, head(req.headers["x-attempt-id"]));
    res.write(events[0]);
    await sleep(30);
    res.destroy();
};
/** Breaks off before the first event. */
const breakingEarly: Answer = async (req, res) => {
    res.writeHead(200, head(req.headers["x-attempt-id"]));
    res.flushHeaders();
    await sleep(30);
    res.destroy();
};
/** Pauses for longer than a route allows, and goes on. */
const pausing: Answer = async (req, res) => {
    res.writeHead(200, head(req.headers["x-attempt-id"]));
    res.write(events[0]);
    await sleep(1_200);
    res.end(events.slice(1).join(""));
};

describe("Relay with endpoints of several software versions", () => {
    let endpoints: ScriptedEndpoint[] = [];
    let ingress: IngressHarness;
    let lists = 1;

    async function start(...specs: [string, Answer, string | undefined][]): Promise<void> {
        endpoints = specs.map(([id, answer, version]) => new ScriptedEndpoint(id, answer, version));
        await Promise.all(endpoints.map(endpoint => endpoint.start()));
        const route = testRoute({
            execution: "stream",
            resumable: true,
            timeoutMs: 4_000,
            gapTargetMs: 60,
            maxAttempts: 3,
        });
        ingress = await IngressHarness.start(testCatalog({ routes: [route] }), endpoints.slice(0, 1), {}, {
            retryReserve: 100,
        });
    }

    function list(listed: readonly ScriptedEndpoint[]): void {
        const now = ingress.clock.now();
        ingress.view.applyEndpointList(listed.map(({ endpoint }) => endpoint), now + lists, ++lists);
    }

    /** Begins a stream at the first endpoint, and lists all endpoints as soon as that has been chosen. */
    async function callFirst(): Promise<CallerAnswer> {
        const answer = ingress.call({ method: "POST", body: "x" });
        while (endpoints[0]?.requests.length === 0) {
            await sleep(1);
        }
        list(endpoints);
        return await answer;
    }

    const takeUp = (lastEventId: number, attempt: string): Promise<CallerAnswer> =>
        ingress.call({
            method: "POST",
            body: "x",
            headers: { "x-attempt-id": "attempt-2", "last-event-id": String(lastEventId), resumes: attempt },
        });
    const requestsAt = (): number[] => endpoints.map(({ requests }) => requests.length);

    afterEach(async () => {
        await ingress.close();
        endpoints.forEach(endpoint => endpoint.close());
    });

    // Guards against the pieces of two versions in one answer, after a break and after a pause.
    it("resumes a broken stream at the version that began it, and not at another one", async () => {
        await start(["e1", breaking, "v1"], ["e2", whole, "v2"], ["e3", whole, "v1"]);
        expect(await callFirst()).to.include({ status: 200, body: events.join(""), complete: true });
        expect(requestsAt()).to.deep.equal([1, 0, 1]);
    });

    it("breaks off a stream when no endpoint of its version is left", async () => {
        await start(["e1", breaking, "v1"], ["e2", whole, "v2"]);
        expect(await callFirst()).to.include({ body: events[0], complete: false });
        expect(requestsAt()).to.deep.equal([1, 0]);
    });

    it("waits for a silent endpoint when the others are of another version", async () => {
        await start(["e1", pausing, "v1"], ["e2", whole, "v2"]);
        expect(await callFirst()).to.include({ body: events.join(""), complete: true });
        expect(requestsAt()).to.deep.equal([1, 0]);
    });

    it("chooses any version while no event has come", async () => {
        await start(["e1", breakingEarly, "v1"], ["e2", whole, "v2"]);
        expect(await callFirst()).to.include({ body: events.join(""), complete: true });
    });

    // Guards against an id and an address that are used again, by an endpoint of another version.
    it("goes by the version that the endpoint had when the stream began", async () => {
        await start(["e1", breaking, "v1"], ["e2", whole, "v2"]);
        const answer = ingress.call({ method: "POST", body: "x" });
        while (endpoints[0]?.requests.length === 0) {
            await sleep(1);
        }
        const [first, second] = endpoints;
        first!.version = "v2";
        second!.version = "v1";
        list(endpoints);
        expect(await answer).to.include({ body: events.join(""), complete: true });
        expect(requestsAt()).to.deep.equal([1, 1]);
    });

    // Guards against the pieces of two versions over the tries of one caller.
    it("lets a caller take a stream up at the version that began it", async () => {
        await start(["e1", breaking, "v1"], ["e2", whole, "v2"], ["e3", whole, "v1"]);
        expect((await ingress.call({ method: "POST", body: "x" })).complete).to.equal(false);
        list(endpoints.slice(1));
        expect(await takeUp(1, "attempt-1")).to.include({ status: 200, body: events.slice(1).join("") });
        expect(requestsAt()).to.deep.equal([1, 0, 1]);
    });

    it("refuses to take a stream up when no endpoint of its version is left", async () => {
        await start(["e1", breaking, "v1"], ["e2", whole, "v2"]);
        expect((await ingress.call({ method: "POST", body: "x" })).complete).to.equal(false);
        list(endpoints.slice(1));
        expect((await takeUp(1, "attempt-1")).status).to.equal(503);
        expect(requestsAt()).to.deep.equal([1, 0]);
    });

    const answerOf = (answer: Partial<OriginAnswer>): OriginAnswer => ({
        leading: true,
        origins: {},
        single: {},
        ...answer,
    });

    // Guards against an ingress that did not begin the stream and chooses any version.
    it("takes a stream up at the version that a steward knows", async () => {
        await start(["e1", whole, "v1"], ["e2", whole, "v2"]);
        list(endpoints);
        const origin = { service: "app", version: "v2" };
        const key = originKey("w", "attempt-1");
        ingress.askForOrigin = async asked => answerOf({ origins: asked === key ? { [key]: origin } : {} });
        for (let i = 0; i < 4; i++) {
            expect(await takeUp(1, "attempt-1")).to.include({ status: 200, body: events.slice(1).join("") });
        }
        expect(requestsAt()).to.deep.equal([0, 4]);
    });

    it("remembers a stream that was taken up here for the next take-up", async () => {
        await start(["e1", whole, "v1"], ["e2", whole, "v2"]);
        list(endpoints);
        const origin = { service: "app", version: "v2" };
        ingress.askForOrigin = async asked => answerOf({ origins: { [asked]: origin } });
        expect((await takeUp(1, "attempt-1")).status).to.equal(200);
        ingress.askForOrigin = async () => undefined;
        expect((await takeUp(2, "attempt-2")).body).to.equal(events[2]);
        expect(requestsAt()).to.deep.equal([0, 2]);
    });

    /** Returns the time for which the origin of an attempt has to be kept, in seconds, by what the leader is told. */
    function lifeOf(attempt: string): number | undefined {
        const { reports, lives } = ingress.view.origins.report(ingress.clock.now());
        const [version] = Object.keys(reports.app ?? {});
        const index = reports.app?.[version ?? ""]?.indexOf(originKey("w", attempt)) ?? -1;
        return lives.app?.[version ?? ""]?.[index];
    }

    // Guards against streams that outlive a fixed time: 0 of 16 could be taken up that had run for 35 s.
    it("keeps the origin of a stream until its last attempt may have ended, and for a grace time", async () => {
        await start(["e1", breaking, "v1"], ["e2", whole, "v1"]);
        expect((await ingress.call({ method: "POST", body: "x" })).complete).to.equal(false);
        expect(lifeOf("attempt-1")).to.be.within(31, 32);
        list(endpoints.slice(1));
        const headers = { "x-attempt-id": "a2", "x-deadline-ms": "4000", "last-event-id": "1", resumes: "attempt-1" };
        expect((await ingress.call({ method: "POST", body: "x", headers })).complete).to.equal(true);
        expect(lifeOf("attempt-1")).to.be.within(33, 34);
    });

    it("keeps the origin of a stream for longer when its route gets a longer timeout", async () => {
        await start(["e1", pausing, "v1"]);
        const { catalog } = ingress.view;
        const route = { ...catalog!.routes[0]!, timeoutMs: 1_000 };
        const setTimeout = (timeoutMs: number): void => {
            ingress.view.catalog = { ...catalog!, routes: [{ ...route, timeoutMs }] };
            ingress.view.routes = new RouteTable(ingress.view.catalog);
        };
        setTimeout(1_000);
        const headers = { "x-deadline-ms": "60000" };
        const answer = ingress.call({ method: "POST", body: "x", headers, onData: () => setTimeout(50_000) });
        expect((await answer).complete).to.equal(true);
        expect(lifeOf("attempt-1")).to.be.within(78, 80);
    });

    // Guards against taking "unknown" for "any", as after a loss of power of all ingresses.
    it("refuses to take a stream up whose version nobody knows", async () => {
        await start(["e1", whole, "v1"], ["e2", whole, "v2"]);
        list(endpoints);
        for (const answer of [undefined, answerOf({}), answerOf({ leading: false })]) {
            ingress.askForOrigin = async () => answer;
            expect(await takeUp(1, "attempt-1")).to.include({
                status: 503,
                body: `{"error":"unknown origin of the stream"}`,
            });
        }
        expect(requestsAt()).to.deep.equal([0, 0]);
    });

    it("takes any stream up while the leader knows that the service has had one version", async () => {
        await start(["e1", whole, "v1"]);
        ingress.askForOrigin = async () => answerOf({ single: { app: "v1" } });
        expect((await takeUp(1, "attempt-1")).body).to.equal(events.slice(1).join(""));
        ingress.askForOrigin = async () => answerOf({ single: { app: "v0" } });
        expect((await takeUp(1, "other-stream")).status).to.equal(503);
        expect(requestsAt()).to.deep.equal([1]);
    });

    // Guards against refusing all take-ups in a rolling upgrade in which the leader still has the earlier software.
    it("goes by the list while the leader does not collect the origins of streams", async () => {
        await start(["e1", whole, "v1"], ["e2", whole, "v2"]);
        const syncAnswer = { leading: true, stewards: [], members: 1 };
        ingress.view.applySyncAnswer(syncAnswer, ingress.clock.now());
        expect((await takeUp(1, "attempt-1")).status).to.equal(200);
        list(endpoints);
        expect((await takeUp(1, "other-stream")).status).to.equal(503);
        list(endpoints.slice(0, 1));
        ingress.view.applySyncAnswer({ ...syncAnswer, singleVersionTag: 1 }, ingress.clock.now());
        expect((await takeUp(1, "other-stream")).status).to.equal(503);
    });

    // Guards against a list that is older than those of others, at an ingress that has just started.
    it("does not go by the list before it has heard of a leader", async () => {
        await start(["e1", whole, "v1"]);
        expect((await takeUp(1, "attempt-1")).status).to.equal(503);
        expect(requestsAt()).to.deep.equal([0]);
    });

    // Guards against streams of a version that no leader knows, at an ingress that reads the list itself.
    it("uses a version that it has read itself when every leader has to know it, and a plain service at once", async () => {
        await start(["e1", whole, "v1"], ["e2", whole, "v2"]);
        const own = endpoints.map(({ endpoint }) => endpoint);
        const plain = { ...own[1]!, id: "plain", service: "plain" };
        const readAt = ingress.clock.now() + 1;
        ingress.view.applyEndpointList([...own, plain], readAt, 0);
        expect(ingress.view.endpoints.all.map(({ id }) => id)).to.deep.equal(["e1", "plain"]);
        ingress.view.releaseVersions();
        expect(ingress.view.endpoints.all.map(({ id }) => id)).to.deep.equal(["e1", "plain"]);
        const now = ingress.clock.now();
        ingress.clock.now = () => now + 2_900;
        ingress.view.releaseVersions();
        expect(ingress.view.endpoints.all.map(({ id }) => id)).to.deep.equal(["e1", "e2", "plain"]);
        expect(ingress.log.events.filter(({ name }) => name === "endpoints.version-withheld")).to.have.length(1);
    });

    // Guards against versions that stay withheld after the leader has announced them in a list that is older than the own
    // one: an ingress refused the take-ups of one of two versions from its start on.
    it("uses a version that the leader announces in a list older than the own one", async () => {
        await start(["e1", whole, "v1"], ["e2", whole, "v2"]);
        const own = endpoints.map(({ endpoint }) => endpoint);
        const readAt = ingress.clock.now() + 1_000;
        ingress.view.applyEndpointList(own, readAt, 0);
        expect(ingress.view.endpoints.all.map(({ id }) => id)).to.deep.equal(["e1"]);
        ingress.view.applyEndpointList(own, readAt - 10, 7);
        expect(ingress.view.endpoints.all.map(({ id }) => id)).to.deep.equal(["e1", "e2"]);
        expect(ingress.view.listNumber, "the leader has to send a newer one").to.equal(0);
        ingress.view.applyEndpointList(own.slice(0, 1), readAt + 10, 8);
        ingress.view.applyEndpointList(own, readAt, 0);
        expect(ingress.view.endpoints.all.map(({ id }) => id), "an own list that came late").to.deep.equal(["e1"]);
        expect(ingress.view.listNumber).to.equal(8);
    });

    it("lets a request without events begin anew at any version", async () => {
        await start(["e1", whole, "v1"]);
        const headers = { resumes: "attempt-1" };
        expect((await ingress.call({ method: "POST", body: "x", headers })).body).to.equal(events.join(""));
    });
});
