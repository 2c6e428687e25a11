import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { CacheEventLog } from "../src/engine/cache-event-log.ts";
import { LoadReporter } from "../src/engine/load-reporter.ts";
import { PrefixCache } from "../src/engine/prefix-cache.ts";

describe("reports of the engine", () => {
    // Guards against a load report that is newer than the lag allows, and one that is older than need be.
    it("gives the newest load that is older than the lag", () => {
        const reporter = new LoadReporter(100, 250);
        for (let at = 0; at <= 1_000; at += 50) {
            reporter.sample({ at, running: at, queued: 0, queuedPrefillTokens: 0 });
        }
        expect(reporter.read(1_049).at).to.equal(700);
        expect(reporter.read(1_050).at).to.equal(800);
        expect(new LoadReporter(100, 250).read(1_000).running).to.equal(0);
    });

    // Guards against cache events that arrive without the lag or under a wrong sequence number after a lost one.
    it("gives cache events late and keeps the numbers of lost ones", () => {
        const options = { cacheEventLagMs: 200, cacheEventDropRate: 0.5, cacheEventsKept: 100 };
        const log = new CacheEventLog(options, new SeededRandom(3));
        for (let i = 1; i <= 20; i++) {
            log.append("stored", [String(i)], 0);
        }
        expect(log.read(0, 199)).to.deep.equal([]);
        const events = log.read(0, 200);
        expect(events.length).to.be.within(1, 19);
        expect(events.map(event => String(event.sequence))).to.deep.equal(events.map(event => event.blocks[0]));
        expect(log.sequence).to.equal(20);
    });

    // Guards against a cache without a limit, and against evicting a block that was used a moment ago.
    it("evicts the least recently used block", () => {
        const cache = new PrefixCache(2);
        cache.store(["a"]);
        cache.store(["b"]);
        expect(cache.match(["a", "x"])).to.equal(1);
        expect(cache.store(["c"])).to.deep.equal({ stored: ["c"], evicted: ["b"] });
    });
});
