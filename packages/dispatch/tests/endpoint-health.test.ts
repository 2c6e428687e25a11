import { EndpointHealth, type EndpointOutcome, healthDefaults } from "@lentilramp/dispatch";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

interface State {
    outcomes: { recordedAt: number; outcome: EndpointOutcome; }[];
    ejectedUntil: number;
    ejectionCount: number;
    trialPending: boolean;
}

const weights: Readonly<Record<EndpointOutcome, number>> = { answered: 0, error: 1, broken: 2 };

/** Ejections as they follow from a look at every sibling for every failure. */
class ExhaustiveHealth {
    private readonly states = new Map<string, State>();

    recordOutcome(endpoint: string, siblings: readonly string[], outcome: EndpointOutcome, now: number): boolean {
        const { minFailureWeight, excessFailureShare, maxEjectedShare } = healthDefaults;
        const state = this.states.get(endpoint)
            ?? { outcomes: [], ejectedUntil: -Infinity, ejectionCount: 0, trialPending: false };
        this.states.set(endpoint, state);
        state.outcomes = [...this.currentOutcomes(endpoint, now), { recordedAt: now, outcome }];
        if (state.trialPending) {
            state.trialPending = false;
            if (outcome === "answered") {
                state.ejectionCount = 0;
                state.outcomes = [];
                return false;
            }
            return this.eject(state, now);
        }
        if (outcome === "answered" || now < state.ejectedUntil) {
            return false;
        }
        const weight = state.outcomes.reduce((sum, past) => sum + weights[past.outcome], 0);
        const share = failureShare(state.outcomes);
        if (weight < minFailureWeight || share < excessFailureShare) {
            return false;
        }
        const others = siblings.filter(id => id !== endpoint);
        const ejected = others.filter(id => (this.states.get(id)?.ejectedUntil ?? -Infinity) > now).length;
        const othersShare = failureShare(others.flatMap(id => this.currentOutcomes(id, now)));
        return ejected + 1 <= siblings.length * maxEjectedShare
            && share >= othersShare + excessFailureShare
            && this.eject(state, now);

        function failureShare(outcomes: State["outcomes"]): number {
            return outcomes.length === 0
                ? 0
                : outcomes.filter(past => past.outcome !== "answered").length / outcomes.length;
        }
    }

    recordDispatch(endpoint: string, now: number): void {
        const state = this.states.get(endpoint);
        if (state !== undefined && state.ejectionCount > 0 && now >= state.ejectedUntil) {
            state.trialPending = true;
        }
    }

    removeEndpoint(endpoint: string): void {
        this.states.delete(endpoint);
    }

    isEjected(endpoint: string, now: number): boolean {
        return now < (this.states.get(endpoint)?.ejectedUntil ?? -Infinity);
    }

    private currentOutcomes(endpoint: string, now: number): State["outcomes"] {
        return (this.states.get(endpoint)?.outcomes ?? []).filter(({ recordedAt }) =>
            now - recordedAt < healthDefaults.windowMs
        );
    }

    private eject(state: State, now: number): boolean {
        const { baseEjectionMs, maxEjectionMs } = healthDefaults;
        state.ejectionCount++;
        state.ejectedUntil = now + Math.min(maxEjectionMs, baseEjectionMs * 2 ** (state.ejectionCount - 1));
        state.outcomes = [];
        return true;
    }
}

/** Plays random outcomes of endpoints that fail, leave and return, and returns the number of ejections. */
function compare(seed: number, endpoints: number): number {
    const random = new SeededRandom(seed);
    const [health, exhaustive] = [new EndpointHealth(), new ExhaustiveHealth()];
    const services = [0, 1].map(service => Array.from({ length: endpoints }, (...[, i]) => `e${service}-${i}`));
    const failing = new Set<string>();
    let ready = services;
    let now = 1_000_000.5;
    let ejections = 0;
    const pick = (ids: readonly string[]): string => ids[random.nextInt(ids.length)] ?? "";
    for (let i = 0; i < 20_000; i++) {
        now += random.next() < 0.001 ? random.next() * 12_000 : random.next() * 40;
        const service = random.nextInt(2);
        const all = services[service] ?? [];
        const siblings = ready[service] ?? [];
        if (random.next() < 0.01) {
            // Few, half or nearly all of the endpoints fail.
            failing.clear();
            const part = [0.1, 0.5, 0.95][random.nextInt(3)] ?? 0;
            services.flat().filter(() => random.next() < part).forEach(id => failing.add(id));
            ready = services.map(ids => ids.filter(() => random.next() < 0.9));
        }
        // An outcome may come from an endpoint that is no longer ready.
        const id = random.next() < 0.9 ? pick(all.slice(0, 6)) : pick(all);
        if (random.next() < 0.01) {
            const left = pick(all);
            health.removeEndpoint(left);
            exhaustive.removeEndpoint(left);
        }
        // Hardly anything is sent to an ejected endpoint, whose ejection then outlasts all of its outcomes.
        if (exhaustive.isEjected(id, now) && random.next() < 0.95) {
            continue;
        }
        if (random.next() < 0.5) {
            health.recordDispatch(id, now);
            exhaustive.recordDispatch(id, now);
        }
        const outcome = random.next() < (failing.has(id) ? 0.8 : 0.05)
            ? (["error", "broken"] as const)[random.nextInt(2)] ?? "error"
            : "answered";
        const isEjected = exhaustive.recordOutcome(id, siblings, outcome, now);
        const index = random.next() < 0.5 ? new Set(siblings) : siblings;
        expect(health.recordOutcome(id, index, outcome, now)).to.equal(isEjected);
        ejections += isEjected ? 1 : 0;
        const any = pick(all);
        expect(health.obstacle(any, now) === "ejected").to.equal(exhaustive.isEjected(any, now));
    }
    return ejections;
}

/**
 * Returns the number of endpoints that are looked up in the service for 100 failures after all of its endpoints have had
 * outcomes.
 */
function lookupsOfFailures(endpoints: number): number {
    const health = new EndpointHealth();
    const ids = Array.from({ length: endpoints }, (...[, i]) => `e${i}`);
    const index = new Set(ids);
    let lookups = 0;
    const siblings = {
        size: ids.length,
        has: (id: string): boolean => {
            lookups++;
            return index.has(id);
        },
    };
    ids.forEach((id, i) => health.recordOutcome(id, siblings, i % 10 === 0 ? "broken" : "answered", i));
    const laterMs = endpoints + 60_000;
    let ejections = 0;
    for (let i = 0; i < 100; i++) {
        const now = laterMs + i * 30;
        health.recordOutcome(`e${i % 50 + 50}`, siblings, "answered", now);
        ejections += health.recordOutcome(`e${i % 8}`, siblings, "broken", now) ? 1 : 0;
    }
    expect(ejections).to.be.above(0);
    return lookups;
}

describe("EndpointHealth with an index of siblings", () => {
    // Guards against an ejection that is missed or made in error because a sibling's outcomes are not counted any more.
    for (const [seed, endpoints] of [[1, 3], [2, 12], [3, 60]] as const) {
        it(`ejects as after a look at all of ${endpoints} siblings, seed ${seed}`, () => {
            expect(compare(seed, endpoints)).to.be.above(50);
        });
    }

    // Guards against failures that each look at 7,400 siblings, when many endpoints of a large service fail at once.
    it("looks up no more siblings for a failure in a service of 8,000 endpoints than in one of 500", () => {
        const [smaller, larger] = [500, 8_000].map(lookupsOfFailures) as [number, number];
        expect(smaller).to.be.within(1, 100 * 58);
        expect(larger).to.equal(smaller);
    });
});
