import {
    BusyState,
    ingressCapacity,
    type IngressDescription,
    ingressDescriptionSchema,
    isWeighted,
    selectLookupIngresses,
} from "@lentilramp/fleet";
import { expect } from "chai";
import { fleetRoster } from "./fleet-roster.ts";

const maxCount = 64;
const callers = Array.from({ length: 4_000 }, (unused, i) => {
    void unused;
    return `10.${i >> 8}.${i & 255}.7`;
});

/** A roster whose machines have 0.243 to 0.81 of a core. */
function unevenRoster(count: number, domains = 3): IngressDescription[] {
    return fleetRoster(count, domains).map((description, i) => ({
        ...description,
        capacity: ingressCapacity({
            cores: 0.243 + (0.81 - 0.243) * (i * 37 % count) / (count - 1),
            memoryMb: undefined,
            fileDescriptors: undefined,
            linkMbps: undefined,
        }),
    }));
}

function names(ingresses: readonly IngressDescription[]): string[] {
    return ingresses.map(({ name }) => name);
}

function answersFor(roster: readonly IngressDescription[]): string[][] {
    return callers.map(caller => names(selectLookupIngresses(roster, maxCount, caller)));
}

function callersOf(answers: readonly string[][]): Map<string, number> {
    const counts = new Map<string, number>();
    answers.flat().forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
    return counts;
}

describe("selectLookupIngresses with capacities", () => {
    // Spread evenly, the ingress with 0.243 of a core got as many callers as the one with 0.81.
    it("gives each of 54 uneven ingresses callers in proportion to its capacity", () => {
        const roster = unevenRoster(54);
        const answers = answersFor(roster);
        const counts = callersOf(answers);
        const total = roster.reduce((sum, { capacity = 0 }) => sum + capacity, 0);
        for (const { name, capacity = 0 } of roster) {
            const share = (counts.get(name) ?? 0) / answers.flat().length;
            expect(share / (capacity / total), `${name} of ${capacity}`).to.be.within(0.9, 1.1);
        }
        const averageSize = answers.flat().length / answers.length;
        expect(averageSize / 27, "half of the fleet on average").to.be.within(0.9, 1.1);
    });

    it("names every ingress to some callers, at least 8 and at most 64 to each, at any size", () => {
        for (const count of [2, 7, 8, 9, 20, 54, 191, 400]) {
            const roster = unevenRoster(count);
            const answers = answersFor(roster);
            expect(new Set(answers.flat()).size, `${count} ingresses`).to.equal(count);
            for (const answer of answers) {
                expect(answer.length, `of ${count}`).to.be.within(Math.min(8, count), maxCount);
                expect(new Set(answer).size).to.equal(answer.length);
            }
        }
    });

    it("names a machine that is far smaller than the others to few callers, but to some", () => {
        const roster = fleetRoster(54, 3).map((description, i) => ({ ...description, capacity: i === 0 ? 1 / 16 : 4 }));
        const counts = callersOf(answersFor(roster));
        expect(counts.get(roster[0]?.name ?? "")).to.be.within(1, callers.length / 30);
    });

    // Callers close the connections to ingresses that are no longer named.
    it("answers a caller the same while the roster is the same, in any order", () => {
        const roster = unevenRoster(54);
        for (const caller of callers.slice(0, 200)) {
            const answer = names(selectLookupIngresses(roster, maxCount, caller));
            expect(names(selectLookupIngresses([...roster].reverse(), maxCount, caller))).to.deep.equal(answer);
        }
    });

    it("changes only the answers that had an ingress when it leaves, or is busy", () => {
        const roster = unevenRoster(54);
        const before = answersFor(roster);
        for (const index of [0, 17, 30, 53]) {
            const leaver = roster[index]?.name ?? "";
            const without = roster.filter(({ name }) => name !== leaver);
            const busy = roster.map(entry => entry.name === leaver ? { ...entry, busy: true } : entry);
            const callersBefore = callersOf(before).get(leaver) ?? 0;
            const afterLeaving = answersFor(without);
            const whileBusy = answersFor(busy);
            for (const [i, answer] of before.entries()) {
                const others = answer.filter(name => name !== leaver);
                // An answer below the smallest size is filled up by one.
                expect(afterLeaving[i], `${callers[i]} without ${leaver}`).to.include.members(others);
                expect(afterLeaving[i]?.length).to.equal(Math.max(8, others.length));
                expect(whileBusy[i]?.filter(name => name !== leaver)).to.include.members(others);
            }
            expect((callersOf(whileBusy).get(leaver) ?? 0) / callersBefore).to.be.within(0.4, 0.6);
        }
    });

    // Guards against a change for the deployments whose machines are alike, and while machines are upgraded.
    it("answers as without capacities where these are equal, nearly equal, or not all known", () => {
        for (const count of [9, 54, 191]) {
            const plain = fleetRoster(count, 3);
            const expected = names(selectLookupIngresses(plain, maxCount));
            const variants: Record<string, IngressDescription[]> = {
                unknown: plain,
                equal: plain.map(entry => ({ ...entry, capacity: 0.5 })),
                "within 10%": plain.map((entry, i) => ({ ...entry, capacity: i % 2 === 0 ? 1 : 1.0625 })),
                "one of the version before": unevenRoster(count).map((entry, i) =>
                    i === 3 ? { ...entry, capacity: undefined } : entry
                ),
                "equal and one busy": plain.map((entry, i) => ({ ...entry, capacity: 1, busy: i === 2 })),
            };
            for (const [kind, roster] of Object.entries(variants)) {
                expect(isWeighted(roster), kind).to.equal(false);
                for (const caller of [undefined, ...callers.slice(0, 20)]) {
                    expect(names(selectLookupIngresses(roster, maxCount, caller)), kind).to.deep.equal(expected);
                }
            }
        }
    });

    it("keeps an ingress whose capacity cannot be read, as one of unknown capacity", () => {
        const [plain] = fleetRoster(1, 1);
        for (const capacity of [-1, 0, 1e9, "2", NaN, {}]) {
            const parsed = ingressDescriptionSchema.parse({ ...plain, capacity });
            expect(parsed.capacity, String(capacity)).to.equal(undefined);
            expect(parsed.name).to.equal(plain?.name);
        }
        expect(ingressDescriptionSchema.parse({ ...plain, capacity: 1.5, busy: true })).to.include({
            capacity: 1.5,
            busy: true,
        });
    });
});

describe("ingressCapacity", () => {
    const unknown = { cores: undefined, memoryMb: undefined, fileDescriptors: undefined, linkMbps: undefined };

    it("is that of the scarcest resource, in steps of a sixteenth", () => {
        expect(ingressCapacity({ cores: 0.5, memoryMb: 350, fileDescriptors: 4_100, linkMbps: 10 })).to.equal(1);
        expect(ingressCapacity({ cores: 0.81, memoryMb: 350, fileDescriptors: 8_200, linkMbps: 10 })).to.equal(1);
        expect(ingressCapacity({ cores: 0.81, memoryMb: 490, fileDescriptors: 10_250, linkMbps: 5.25 })).to.equal(0.5);
        expect(ingressCapacity({ ...unknown, cores: 0.001 })).to.equal(1 / 16);
    });

    it("is unknown without any resource, and bounded for any figures", () => {
        expect(ingressCapacity(unknown)).to.equal(undefined);
        expect(ingressCapacity({ ...unknown, cores: 0 })).to.equal(undefined);
        expect(ingressCapacity({ ...unknown, cores: Infinity, memoryMb: 175 })).to.equal(0.5);
        expect(ingressCapacity({ ...unknown, cores: 1e12 })).to.equal(64);
    });
});

describe("BusyState", () => {
    it("is busy after two seconds of more than 90%, and no longer after two seconds of less than 70%", () => {
        const state = new BusyState();
        const observe = (utilization: number, now: number) => state.observe(utilization, now - 250, now);
        for (let now = 250; now < 2_000; now += 250) {
            expect(observe(0.95, now), `at ${now} ms`).to.equal(false);
        }
        expect(observe(0.95, 2_000)).to.equal(true);
        expect(observe(0.8, 2_250)).to.equal(true);
        for (let now = 2_500; now < 4_250; now += 250) {
            expect(observe(0.5, now), `at ${now} ms`).to.equal(true);
        }
        expect(observe(0.5, 4_250)).to.equal(false);
    });

    it("does not change with short bursts or pauses", () => {
        const state = new BusyState();
        for (let now = 250; now < 20_000; now += 250) {
            expect(state.observe(now % 1_750 === 0 ? 0.5 : 1, now - 250, now)).to.equal(false);
        }
    });
});
