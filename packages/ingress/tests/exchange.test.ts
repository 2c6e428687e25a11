import { LoadBoard } from "@lentilramp/dispatch";
import type { IngressDescription } from "@lentilramp/fleet";
import { defaultHttpServerOptions, HttpServer, ProcessKey } from "@lentilramp/protocol";
import { MemoryEventLog, SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { LoadFeed, LoadFollower } from "../src/index.ts";

const idle = { firstByteMs: 10, idleMs: 10, unreadTokens: 300 };

/** The parts of one ingress that exchange load. */
class Exchange {
    readonly board = new LoadBoard();
    readonly log = new MemoryEventLog();
    private readonly clock = new SystemClock();
    private readonly key = new ProcessKey("k".repeat(32));
    private readonly http = new HttpServer({ host: "127.0.0.1", port: 0, ...defaultHttpServerOptions }, this.log);
    readonly feed = new LoadFeed(this.board, this.clock);
    private readonly follower: LoadFollower;
    private inner = { host: "127.0.0.1", port: 0 };

    constructor(readonly name: string, roster: () => readonly IngressDescription[]) {
        this.feed.attach(this.http, this.key);
        this.follower = new LoadFollower(name, this.board, roster, this.key, this.clock, this.log);
    }

    get description(): IngressDescription {
        const { inner } = this;
        return { name: this.name, ...inner, inner, region: "r", failureDomain: "a", accepting: true };
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

describe("LoadFeed", () => {
    let exchanges: Exchange[] = [];

    afterEach(async () => {
        await Promise.all(exchanges.map(exchange => exchange.close()));
        exchanges = [];
    });

    async function startPair(): Promise<[Exchange, Exchange]> {
        const roster = () => exchanges.map(exchange => exchange.description);
        const pair: [Exchange, Exchange] = [new Exchange("i1", roster), new Exchange("i2", roster)];
        exchanges = pair;
        await Promise.all(pair.map(exchange => exchange.start()));
        await until(() => pair.every(({ board }) => board.heardFrom.length === 1), 2_000);
        return pair;
    }

    // With a report each 250 ms, half of the prompts of a burst went to engines that others had filled meanwhile.
    it("lets the others see a request at an endpoint before the next one is decided, and its end", async () => {
        const [one, two] = await startPair();
        const booking = one.board.book("e1", idle, 0);
        await until(() => two.board.load("e1", 0).running === 1, 150);
        expect(two.board.load("e1", 0).unreadTokens).to.equal(300);
        booking.start(5);
        booking.end();
        await until(() => two.board.load("e1", 0).running === 0, 150);
    });

    it("tells one that follows later all that it has", async () => {
        const roster = () => exchanges.map(exchange => exchange.description);
        const [one] = await startPair();
        one.board.book("e1", idle, 0);
        const third = new Exchange("i3", roster);
        await third.start();
        exchanges.push(third);
        await until(() => third.board.load("e1", 0).running === 1, 2_000);
    });

    it("drops what a lost ingress said, so that its share of an endpoint is not kept for it", async () => {
        const [one, two] = await startPair();
        one.board.book("e1", idle, 0);
        await until(() => two.board.load("e1", 0).running === 1, 1_000);
        await one.close();
        await until(() => two.board.load("e1", 0).running === 0, 3_000);
        expect(two.log.events.filter(({ name }) => name === "load-feed.lost")).to.not.have.length(0);
    });
});
