import { type IngressDescription, Roster } from "@lentilramp/fleet";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import { isDeepStrictEqual } from "node:util";

const timeoutMs = (members: number): number => 400 + members * 10;
const suspectedTimeoutMs = (members: number): number => 100 + members * 5;

interface Entry {
    description: IngressDescription;
    lastContactAt: number;
    suspectedAt: number;
}

/** The ingresses in contact, selected from all that are known and sorted for each question. */
class SortingRoster {
    private readonly entries = new Map<string, Entry>();

    constructor(private readonly forgetMs: number) {}

    recordContact(description: IngressDescription, now: number): void {
        const known = this.entries.get(description.name);
        this.entries.set(
            description.name,
            known === undefined || !isDeepStrictEqual(known.description, description)
                ? { description, lastContactAt: now, suspectedAt: -Infinity }
                : { ...known, lastContactAt: Math.max(known.lastContactAt, now) },
        );
    }

    suspect(name: string, now: number): void {
        const known = this.entries.get(name);
        if (known !== undefined) {
            known.suspectedAt = now;
        }
    }

    countMembers(now: number): number {
        [...this.entries].filter(([, { lastContactAt }]) => now - lastContactAt > this.forgetMs)
            .forEach(([name]) => this.entries.delete(name));
        return this.entries.size;
    }

    live(now: number): IngressDescription[] {
        const members = this.entries.size;
        return [...this.entries.values()]
            .filter(({ lastContactAt, suspectedAt }) =>
                lastContactAt > now - (suspectedAt > lastContactAt ? suspectedTimeoutMs(members) : timeoutMs(members))
            )
            .map(({ description }) => description)
            .sort((a, b) => a.name < b.name ? -1 : 1);
    }
}

describe("Roster that keeps its order", () => {
    // Guards against ingresses that are missing from lookups, listed after they have gone, or listed with an earlier
    // description. The leader compares the objects to find whether its roster has changed.
    // In a very large fleet, an ingress is forgotten before its timeout.
    for (const [seed, forgetMs] of [[1, 3_000], [2, 3_000], [3, 450]] as const) {
        it(`lists the ingresses in contact while they come, change and are forgotten in ${forgetMs} ms, seed ${seed}`, () => {
            const random = new SeededRandom(seed);
            const roster = new Roster(timeoutMs, suspectedTimeoutMs, forgetMs);
            const sorting = new SortingRoster(forgetMs);
            let now = 10_000;
            let listed = 0;
            let forgotten = 0;
            let members = 0;
            for (let i = 0; i < 8_000; i++) {
                now += random.next() < 0.003 ? random.next() * 6_000 : random.next() * 30;
                // Their number changes, so that some are forgotten and return.
                const name = `i${random.nextInt(i % 2_000 < 1_000 ? 40 : 8)}`;
                const change = random.next();
                if (change < 0.7) {
                    const address = { host: "10.0.0.1", port: 80 };
                    const description = {
                        name,
                        ...address,
                        inner: address,
                        region: "r",
                        failureDomain: "a",
                        accepting: random.next() < 0.9,
                    };
                    // A report may be of an earlier instant than that of the leader's roster.
                    const at = now - (random.next() < 0.1 ? random.next() * 200 : 0);
                    roster.recordContact(description, at);
                    sorting.recordContact(description, at);
                }
                else if (change < 0.8) {
                    roster.suspect(name, now);
                    sorting.suspect(name, now);
                }
                if (random.next() < 0.2) {
                    const before = members;
                    members = sorting.countMembers(now);
                    expect(roster.countMembers(now)).to.equal(members);
                    forgotten += members < before ? 1 : 0;
                }
                const [found, expected] = [roster.live(now), sorting.live(now)];
                expect(found.map(({ name }) => name)).to.deep.equal(expected.map(({ name }) => name));
                expect(found.every((description, k) => description === expected[k])).to.equal(true);
                listed += found.length;
            }
            expect(listed).to.be.above(8_000 * 5);
            expect(forgotten).to.be.above(10);
        });
    }
});
