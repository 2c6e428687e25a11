import { CacheMap } from "@lentilramp/routing";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { LeastOutstandingPolicy } from "../src/baselines/baseline-policy.ts";
import { runPolicy } from "../src/experiments/routing.ts";
import { BlockCache } from "../src/fakes/block-cache.ts";
import { engineDefaults, FakeEngine } from "../src/fakes/engine.ts";
import { EventQueue } from "../src/fakes/event-queue.ts";

describe("routing experiment", () => {
    // Guards against figures that differ between runs with the same seed.
    it("is reproducible to the last digit", () => {
        const run = (seed: number) => runPolicy(seed, 1, 500, random => new LeastOutstandingPolicy(random));
        expect(run(1)).to.deep.equal(run(1));
        expect(run(1)).to.not.deep.equal(run(2));
    });
});

describe("EventQueue", () => {
    // Guards against events of one instant in an order that depends on the queue's internals.
    it("runs events by instant, then in the order of their scheduling, without the cancelled ones", () => {
        const clock = new EventQueue();
        const order: number[] = [];
        const random = new SeededRandom(1);
        for (let i = 0; i < 100; i++) {
            clock.schedule(random.nextInt(3), () => order.push(clock.now() * 1000 + i));
        }
        clock.schedule(1, () => order.push(-1)).cancel();
        clock.runUntil(5);
        expect(order).to.deep.equal([...order].sort((a, b) => a - b));
        expect(order).to.have.length(100);
    });
});

describe("BlockCache", () => {
    // Guards against a fake whose events contradict its content, which would spoil every candidate's knowledge.
    it("publishes events and snapshots from which its content can be rebuilt", () => {
        const prefixes = fc.array(fc.uniqueArray(fc.nat(15), { maxLength: 5 }), { maxLength: 30 });
        fc.assert(
            fc.property(prefixes, fc.nat(5), (inserted, snapshotAt) => {
                const cache = new BlockCache(6);
                const map = new CacheMap();
                inserted.forEach((prefix, i) => {
                    cache.insert(prefix);
                    if (i === snapshotAt) {
                        map.acceptSnapshot(cache.snapshot(), 0);
                    }
                    if (i % 2 === 0) {
                        map.acceptBatch(cache.takeBatch(), 0);
                    }
                });
                map.acceptBatch(cache.takeBatch(), 0);
                for (let hash = 0; hash <= 15 && !map.stale; hash++) {
                    expect(map.matchedBlocks([hash], 0)).to.equal(cache.use([hash]));
                }
            }),
            { seed: 41 },
        );
    });
});

describe("FakeEngine", () => {
    // Guards against a fake that ignores its token budget or its cache, which would favour any policy.
    it("computes a prompt in steps of the budget and skips cached blocks", () => {
        const clock = new EventQueue();
        const engine = new FakeEngine(clock);
        const prefix = Array.from(Array(32).keys());
        const firstTokenMs = () => {
            const start = clock.now();
            let at = 0;
            const onToken = (offset: number) => {
                at = offset === 0 ? clock.now() - start : at;
            };
            const job = { promptTokens: 2048, prefix, outputTokens: 2, priority: "normal" as const };
            engine.submit({ ...job, onToken, onEnd: () => undefined });
            clock.runUntil(start + 10_000);
            return at;
        };
        const { stepBaseMs, sequenceMs, promptTokenMs } = engineDefaults;
        expect(firstTokenMs()).to.be.closeTo(4 * (stepBaseMs + sequenceMs) + 2048 * promptTokenMs, 1e-6);
        expect(firstTokenMs()).to.be.closeTo(stepBaseMs + sequenceMs + promptTokenMs, 1e-6);
    });
});
