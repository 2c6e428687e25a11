import { LoadTracker } from "@lentilramp/dispatch";
import { CapMeter, type ExchangeScope, type FleetCoverage, type IngressDescription } from "@lentilramp/fleet";
import { defaultHttpServerOptions, HttpServer, ProcessKey } from "@lentilramp/protocol";
import { MemoryEventLog, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { testWorkspace } from "../../catalog/tests/fixtures.ts";
import { ExchangeFeed, ExchangeSubscriber } from "../src/index.ts";

const workspace = testWorkspace({ capPerSecond: 1, capBurst: 1_000 });
const idle = { firstByteMs: 10, idleFirstByteMs: 10, unreadTokens: 300 };

/** The parts of one ingress that exchange what they know. */
class Exchange {
    readonly board = new LoadTracker();
    readonly caps: CapMeter;
    readonly log = new MemoryEventLog();
    private readonly clock = new SystemClock();
    private readonly key = new ProcessKey("k".repeat(32));
    readonly http = new HttpServer({ host: "127.0.0.1", port: 0, ...defaultHttpServerOptions }, this.log);
    readonly feed: ExchangeFeed;
    readonly follower: ExchangeSubscriber;
    private inner = { host: "127.0.0.1", port: 0 };

    constructor(
        readonly name: string,
        private readonly failureDomain: string,
        roster: () => readonly IngressDescription[],
    ) {
        const coverage = (): FleetCoverage => ({
            coveredMembers: this.follower.countCovered("fleet"),
            members: roster().length,
            silentMembers: 0,
            leaderAnsweredAt: Infinity,
        });
        this.caps = new CapMeter({ overshoot: 0, windowMs: 0, units: 0 }, coverage, this.clock.now());
        this.caps.setWorkspaces([workspace]);
        this.follower = new ExchangeSubscriber(
            name,
            {
                loads: this.board,
                caps: this.caps,
                onMemberChange: peer => this.feed.markBusy(peer),
            },
            roster,
            this.key,
            this.clock,
            this.log,
        );
        const covered = (scope: ExchangeScope, asker: string): number => this.follower.countCovered(scope, asker);
        this.feed = new ExchangeFeed(this.board, this.caps, `${name}/run`, covered, this.clock);
        this.feed.attach(this.http, this.key);
    }

    get description(): IngressDescription {
        const { inner, failureDomain } = this;
        return { name: this.name, ...inner, inner, region: "r", failureDomain, accepting: true };
    }

    async start(): Promise<void> {
        await this.http.start();
        this.inner = this.http.address;
        await this.follower.start();
    }

    async close(): Promise<void> {
        await this.follower.close();
        await this.feed.close();
        await this.http.close();
    }
}

async function until(check: () => boolean, withinMs: number): Promise<void> {
    const end = performance.now() + withinMs;
    while (!check() && performance.now() < end) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(check(), `not within ${withinMs} ms`).to.equal(true);
}

describe("ExchangeFeed", () => {
    let exchanges: Exchange[] = [];

    afterEach(async () => {
        await Promise.all(exchanges.map(exchange => exchange.close()));
        exchanges = [];
    });

    async function startPair(): Promise<[Exchange, Exchange]> {
        const roster = () => exchanges.map(exchange => exchange.description);
        const pair: [Exchange, Exchange] = [new Exchange("i1", "a", roster), new Exchange("i2", "a", roster)];
        exchanges = pair;
        await Promise.all(pair.map(exchange => exchange.start()));
        await until(() => pair.every(({ board }) => board.peers.length === 1), 2_000);
        return pair;
    }

    // With a report each 250 ms, half of the prompts of a burst went to engines that others had filled meanwhile.
    it("lets the others see a request at an endpoint before the next one is decided, and its end", async () => {
        const [one, two] = await startPair();
        const booking = one.board.trackRequest("e1", idle, 0);
        await until(() => two.board.load("e1", 0).running === 1, 150);
        expect(two.board.load("e1", 0).unreadTokens).to.equal(300);
        booking.recordFirstByte(5);
        booking.recordEnd();
        await until(() => two.board.load("e1", 0).running === 0, 150);
    });

    it("tells one that follows later all that it has", async () => {
        const roster = () => exchanges.map(exchange => exchange.description);
        const [one] = await startPair();
        one.board.trackRequest("e1", idle, 0);
        const third = new Exchange("i3", "a", roster);
        await third.start();
        exchanges.push(third);
        await until(() => third.board.load("e1", 0).running === 1, 2_000);
    });

    it("drops what a lost ingress said, so that its share of an endpoint is not kept for it", async () => {
        const [one, two] = await startPair();
        one.board.trackRequest("e1", idle, 0);
        await until(() => two.board.load("e1", 0).running === 1, 1_000);
        await one.close();
        await until(() => two.board.load("e1", 0).running === 0, 3_000);
        const lost = () => two.log.events.filter(({ name }) => name === "exchange.lost").length;
        expect(lost()).to.be.above(0);
        // The lost one is tried again and again; each try was a line in the log.
        await new Promise(resolve => setTimeout(resolve, 1_100));
        expect(lost()).to.be.at.most(3);
    });

    it("takes from the caps what the others have used", async () => {
        const [one, two] = await startPair();
        one.caps.tryUse(workspace, 400, Date.now());
        one.board.trackRequest("e1", idle, 0);
        await until(() => two.caps.totals.fleetTotalsExcluding("").get("w") === 400, 500);
    });

    // Pattern: a fleet of three domains, in which members learn of others over two hubs.
    it("passes load and use on over the hubs of a larger fleet, and goes on when a hub is lost", async () => {
        let held: IngressDescription[] = [];
        exchanges = Array.from({ length: 15 }, (unused, i) => {
            void unused;
            return new Exchange(`i${i}`, "abc"[i % 3] ?? "a", () => held);
        });
        await Promise.all(exchanges.map(exchange => exchange.start()));
        held = exchanges.map(({ description }) => description);
        await until(() => exchanges.every(({ follower }) => follower.countCovered("fleet") === 15), 4_000);
        const isHub = ({ follower }: Exchange): boolean => follower.countCovered("group") > 1;
        const sender = exchanges.find(exchange => !isHub(exchange))!;
        sender.caps.tryUse(workspace, 50, Date.now());
        const booking = sender.board.trackRequest("e1", idle, 0);
        const others = exchanges.filter(exchange => exchange !== sender);
        await until(() => others.every(({ board }) => board.load("e1", 0).running === 1), 1_000);
        expect(others.map(({ caps }) => caps.totals.fleetTotalsExcluding("").get("w"))).to.deep.equal(
            Array(14).fill(50),
        );
        booking.recordEnd();
        await until(() => others.every(({ board }) => board.load("e1", 0).running === 0), 1_000);
        // Half of the connections were reset, and every hub was suspected by somebody for five seconds.
        for (const { http } of exchanges) {
            (http as unknown as { server: Server; }).server.closeAllConnections();
        }
        await until(() => exchanges.every(({ log }) => log.events.some(({ name }) => name === "exchange.lost")), 1_000);
        await until(() => exchanges.every(({ follower }) => follower.countCovered("fleet") === 15), 1_000);
        expect(exchanges.flatMap(({ log }) => log.events).filter(({ fields }) => fields.suspected === true))
            .to.deep.equal([]);
        const hub = exchanges.find(isHub)!;
        await hub.close();
        exchanges = exchanges.filter(exchange => exchange !== hub);
        await until(() => exchanges.every(({ follower }) => follower.countCovered("fleet") === 14), 4_000);
        sender.board.trackRequest("e2", idle, 0);
        const left = exchanges.filter(exchange => exchange !== sender);
        await until(() => left.every(({ board }) => board.load("e2", 0).running === 1), 1_000);
    });

    it("drops a feed whose lines cannot be read or never end, and says so", async () => {
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
            const follower = new ExchangeSubscriber(
                "i0",
                { loads: new LoadTracker(), caps: one.caps, onMemberChange: () => undefined },
                () => [peer],
                new ProcessKey("k".repeat(32)),
                new SystemClock(),
                log,
            );
            await follower.start();
            await until(() => log.events.some(({ name }) => name === "exchange.lost"), 2_000);
            expect(follower.countCovered("fleet")).to.equal(1);
            await follower.close();
            server.closeAllConnections();
            server.close();
        }
    });

    // Guards against a loop without a pause, in which two processes spend their time on opening a feed.
    it("does not open a feed that ends at once more often than it looks", async () => {
        const [one] = await startPair();
        let opened = 0;
        const server = createServer((req, res) => {
            opened++;
            res.writeHead(200);
            res.end(`${JSON.stringify({ lifetime: req.url, covered: 1 })}\n`);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const inner = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
        const follower = new ExchangeSubscriber(
            "i0",
            { loads: new LoadTracker(), caps: one.caps, onMemberChange: () => undefined },
            () => [{ ...one.description, name: "i9", inner }],
            new ProcessKey("k".repeat(32)),
            new SystemClock(),
            new MemoryEventLog(),
        );
        await follower.start();
        await new Promise(resolve => setTimeout(resolve, 1_100));
        await follower.close();
        server.closeAllConnections();
        server.close();
        expect(opened).to.be.within(2, 5);
    });
});
