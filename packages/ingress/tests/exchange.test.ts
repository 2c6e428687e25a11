import { LoadTracker } from "@lentilramp/dispatch";
import {
    CapMeter,
    type ExchangeScope,
    type FleetCoverage,
    FreshCrashes,
    type IngressDescription,
} from "@lentilramp/fleet";
import { defaultHttpServerOptions, HttpServer, ProcessKey } from "@lentilramp/protocol";
import { MemoryEventLog, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { testWorkspace } from "../../catalog/tests/fixtures.ts";
import { ExchangeFeed, ExchangeSubscriber } from "../src/index.ts";
import { RunningTime } from "./ingress-harness.ts";

const workspace = testWorkspace({ capPerSecond: 1, capBurst: 1_000 });
const prediction = { firstByteMs: 10, idleFirstByteMs: 10, unreadTokens: 300 };

/** The components of one ingress that exchange load and cap usage with other ingresses. */
class ExchangeNode {
    readonly loads = new LoadTracker();
    readonly caps: CapMeter;
    readonly crashes = new FreshCrashes();
    readonly log = new MemoryEventLog();
    private readonly clock = new SystemClock();
    private readonly key = new ProcessKey("k".repeat(32));
    readonly http = new HttpServer({ host: "127.0.0.1", port: 0, ...defaultHttpServerOptions }, this.log);
    readonly feed: ExchangeFeed;
    readonly subscriber: ExchangeSubscriber;
    private inner = { host: "127.0.0.1", port: 0 };

    constructor(
        readonly name: string,
        private readonly failureDomain: string,
        roster: () => readonly IngressDescription[],
    ) {
        const coverage = (): FleetCoverage => ({
            coveredMembers: this.subscriber.countCovered("fleet"),
            members: roster().length,
            silentMembers: 0,
            leaderAnsweredAt: Infinity,
        });
        this.caps = new CapMeter({ overshoot: 0, windowMs: 0, units: 0 }, coverage, this.clock.now());
        this.caps.setWorkspaces([workspace]);
        this.subscriber = new ExchangeSubscriber(
            name,
            {
                loads: this.loads,
                caps: this.caps,
                onMemberChange: peer => this.feed.markBusy(peer),
                crashes: this.crashes,
            },
            roster,
            this.key,
            this.clock,
            this.log,
        );
        const covered = (scope: ExchangeScope, asker: string): number => this.subscriber.countCovered(scope, asker);
        this.feed = new ExchangeFeed(this.loads, this.caps, `${name}/run`, covered, this.clock, this.crashes);
        this.feed.attach(this.http, this.key);
    }

    get description(): IngressDescription {
        const { inner, failureDomain } = this;
        return { name: this.name, ...inner, inner, region: "r", failureDomain, accepting: true };
    }

    async start(): Promise<void> {
        await this.http.start();
        this.inner = this.http.address;
        await this.subscriber.start();
    }

    async close(): Promise<void> {
        await this.subscriber.close();
        await this.feed.close();
        await this.http.close();
    }
}

/** Waits for at most `withinMs` milliseconds of the time in which this process, with all its ingresses, can run. */
async function waitUntil(condition: () => boolean, withinMs: number): Promise<void> {
    const time = new RunningTime();
    while (!condition() && time.now() < withinMs) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    time.close();
    expect(condition(), `not within ${withinMs} ms`).to.equal(true);
}

describe("ExchangeFeed", () => {
    let exchanges: ExchangeNode[] = [];

    afterEach(async () => {
        await Promise.all(exchanges.map(exchange => exchange.close()));
        exchanges = [];
    });

    async function startPair(): Promise<[ExchangeNode, ExchangeNode]> {
        const roster = () => exchanges.map(exchange => exchange.description);
        const pair: [ExchangeNode, ExchangeNode] = [
            new ExchangeNode("i1", "a", roster),
            new ExchangeNode("i2", "a", roster),
        ];
        exchanges = pair;
        await Promise.all(pair.map(exchange => exchange.start()));
        await waitUntil(() => pair.every(({ loads }) => loads.peers.length === 1), 2_000);
        return pair;
    }

    // With one report every 250 ms, half of the prompts of a burst went to engines that other ingresses had filled in
    // the meantime.
    it("publishes the start and the end of a request within 150 ms, before the next dispatch decision", async () => {
        const [one, two] = await startPair();
        const booking = one.loads.trackRequest("e1", prediction, 0);
        await waitUntil(() => two.loads.load("e1", 0).running === 1, 150);
        expect(two.loads.load("e1", 0).unreadTokens).to.equal(300);
        booking.recordFirstByte(5);
        booking.recordEnd();
        await waitUntil(() => two.loads.load("e1", 0).running === 0, 150);
    });

    // Guards against a request that ends endpoint after endpoint while it is repeated faster than the leader can tell.
    it("tells of the requests that were lost in a crash, once and without a change of load", async () => {
        const [one, two] = await startPair();
        const now = new SystemClock().now();
        one.crashes.record({ id: "e1", startedAt: 1 }, "r", now);
        await waitUntil(() => two.crashes.count("r", -Infinity, now) === 1, 150);
        two.crashes.record({ id: "e2", startedAt: 1 }, "r", now);
        await waitUntil(() => one.crashes.count("r", -Infinity, now) === 2, 150);
        expect(two.crashes.count("r", -Infinity, now)).to.equal(2);
    });

    it("sends its full load to an ingress that subscribes after the load arose", async () => {
        const roster = () => exchanges.map(exchange => exchange.description);
        const [one] = await startPair();
        one.loads.trackRequest("e1", prediction, 0);
        const third = new ExchangeNode("i3", "a", roster);
        await third.start();
        exchanges.push(third);
        await waitUntil(() => third.loads.load("e1", 0).running === 1, 2_000);
    });

    it("removes the load of a failed ingress, which would keep slots of an endpoint occupied", async () => {
        const [one, two] = await startPair();
        one.loads.trackRequest("e1", prediction, 0);
        await waitUntil(() => two.loads.load("e1", 0).running === 1, 1_000);
        await one.close();
        await waitUntil(() => two.loads.load("e1", 0).running === 0, 3_000);
        const lostFeedLines = () => two.log.events.filter(({ name }) => name === "exchange.lost").length;
        expect(lostFeedLines()).to.be.above(0);
        // The failed ingress is retried at each check, and each retry wrote a line to the log.
        await new Promise(resolve => setTimeout(resolve, 1_100));
        expect(lostFeedLines()).to.be.at.most(3);
    });

    it("receives the cap usage of other ingresses, without which the fleet exceeds a cap", async () => {
        const [one, two] = await startPair();
        one.caps.tryUse(workspace, 400, Date.now());
        one.loads.trackRequest("e1", prediction, 0);
        await waitUntil(() => two.caps.totals.fleetTotalsExcluding("").get("w") === 400, 500);
    });

    // The fleet has three failure domains; members receive the load of other groups through two hubs.
    it("relays load and cap usage through hubs, also after connections are reset and after a hub fails", async () => {
        let roster: IngressDescription[] = [];
        exchanges = Array.from({ length: 15 }, (unused, i) => {
            void unused;
            return new ExchangeNode(`i${i}`, "abc"[i % 3] ?? "a", () => roster);
        });
        await Promise.all(exchanges.map(exchange => exchange.start()));
        roster = exchanges.map(({ description }) => description);
        await waitUntil(() => exchanges.every(({ subscriber }) => subscriber.countCovered("fleet") === 15), 4_000);
        const isHub = ({ subscriber }: ExchangeNode): boolean => subscriber.countCovered("group") > 1;
        const sender = exchanges.find(exchange => !isHub(exchange))!;
        sender.caps.tryUse(workspace, 50, Date.now());
        const booking = sender.loads.trackRequest("e1", prediction, 0);
        const others = exchanges.filter(exchange => exchange !== sender);
        await waitUntil(() => others.every(({ loads }) => loads.load("e1", 0).running === 1), 1_000);
        expect(others.map(({ caps }) => caps.totals.fleetTotalsExcluding("").get("w"))).to.deep.equal(
            Array(14).fill(50),
        );
        booking.recordEnd();
        await waitUntil(() => others.every(({ loads }) => loads.load("e1", 0).running === 0), 1_000);
        // After a reset of half of the connections, some ingress suspected each hub for five seconds.
        for (const { http } of exchanges) {
            (http as unknown as { server: Server; }).server.closeAllConnections();
        }
        await waitUntil(
            () => exchanges.every(({ log }) => log.events.some(({ name }) => name === "exchange.lost")),
            1_000,
        );
        await waitUntil(() => exchanges.every(({ subscriber }) => subscriber.countCovered("fleet") === 15), 1_000);
        expect(exchanges.flatMap(({ log }) => log.events).filter(({ fields }) => fields.suspected === true))
            .to.deep.equal([]);
        const hub = exchanges.find(isHub)!;
        await hub.close();
        exchanges = exchanges.filter(exchange => exchange !== hub);
        await waitUntil(() => exchanges.every(({ subscriber }) => subscriber.countCovered("fleet") === 14), 4_000);
        sender.loads.trackRequest("e2", prediction, 0);
        const remaining = exchanges.filter(exchange => exchange !== sender);
        await waitUntil(() => remaining.every(({ loads }) => loads.load("e2", 0).running === 1), 1_000);
    });

    it("closes and logs a feed whose lines are invalid, lack the lifetime or never end", async () => {
        const [one] = await startPair();
        for (const answer of ["not a line\n", '{"covered":1}\n', "x".repeat(70_000)]) {
            const server = createServer((req, res) => {
                void req;
                res.writeHead(200);
                res.write(answer);
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const inner = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
            const peer = { ...one.description, name: "i9", inner };
            const log = new MemoryEventLog();
            const subscriber = new ExchangeSubscriber(
                "i0",
                { loads: new LoadTracker(), caps: one.caps, onMemberChange: () => undefined },
                () => [peer],
                new ProcessKey("k".repeat(32)),
                new SystemClock(),
                log,
            );
            await subscriber.start();
            await waitUntil(() => log.events.some(({ name }) => name === "exchange.lost"), 2_000);
            expect(subscriber.countCovered("fleet")).to.equal(1);
            await subscriber.close();
            server.closeAllConnections();
            server.close();
        }
    });

    // Guards against a tight loop in which two processes only open and close feeds.
    it("reopens a feed that ends at once only at the next check", async () => {
        const [one] = await startPair();
        let opened = 0;
        const server = createServer((req, res) => {
            opened++;
            res.writeHead(200);
            res.end(`${JSON.stringify({ lifetime: req.url, covered: 1 })}\n`);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const inner = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
        const subscriber = new ExchangeSubscriber(
            "i0",
            { loads: new LoadTracker(), caps: one.caps, onMemberChange: () => undefined },
            () => [{ ...one.description, name: "i9", inner }],
            new ProcessKey("k".repeat(32)),
            new SystemClock(),
            new MemoryEventLog(),
        );
        await subscriber.start();
        await new Promise(resolve => setTimeout(resolve, 1_100));
        await subscriber.close();
        server.closeAllConnections();
        server.close();
        expect(opened).to.be.within(2, 5);
    });
});
