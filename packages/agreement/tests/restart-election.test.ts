import {
    AgreementNode,
    applyWrite,
    type Effect,
    foundingState,
    type Input,
    type StoredState,
} from "@lentilramp/agreement";
import { ManualClock, SeededRandom, type Timer } from "@lentilramp/runtime";
import { expect } from "chai";

/** The options of the stewards of a fleet. */
const options = { heartbeatMs: 100, electionTimeoutMinMs: 450, electionTimeoutMaxMs: 900, leaseMs: 0 };
/** Largest time between the starts of the first and the last member, in milliseconds. */
const spreadMs = 200;
/** Longest time that a message or a sync takes on a part of a core, in milliseconds. */
const linkMs = 30;
const syncMs = 20;

/** A group whose members start one after another, as after a loss of power; messages to one that has not started are lost. */
class StartingGroup {
    private readonly clock = new ManualClock(1_000);
    private readonly random: SeededRandom;
    readonly nodes = new Map<string, AgreementNode>();
    private readonly terms = new Map<number, string>();
    private readonly stored = new Map<string, StoredState>();
    private readonly timers = new Map<string, Timer>();
    private readonly quorumAt: number;
    private ledAt: number | undefined;

    constructor(size: number, seed: number) {
        this.random = new SeededRandom(seed);
        const members = Array.from({ length: size }, (...[, i]) => ({ id: `m${i}`, address: `m${i}` }));
        const starts = members.map(({ id }) => ({ id, at: this.clock.now() + this.random.next() * spreadMs }));
        this.quorumAt = starts.map(({ at }) => at).sort((a, b) => a - b)[Math.floor(size / 2)] ?? Infinity;
        for (const { id, at } of starts) {
            this.stored.set(id, foundingState(members));
            this.clock.schedule(at, () => this.start(id));
        }
    }

    /** Returns the time from the start of a majority until a member leads, in milliseconds. */
    runUntilLed(): number {
        while (this.ledAt === undefined && this.clock.now() < 20_000) {
            this.clock.advanceTo(this.clock.now() + 1);
        }
        return (this.ledAt ?? Infinity) - this.quorumAt;
    }

    runFor(ms: number): void {
        for (const end = this.clock.now() + ms; this.clock.now() < end;) {
            this.clock.advanceTo(this.clock.now() + 1);
        }
    }

    stop(id: string): void {
        this.nodes.delete(id);
        this.timers.get(id)?.cancel();
    }

    start(id: string): void {
        const stored = this.stored.get(id) ?? foundingState([]);
        const node = new AgreementNode({
            id,
            stored,
            options,
            random: () => this.random.next(),
            now: this.clock.now(),
        });
        this.nodes.set(id, node);
        this.perform(id, node.start());
    }

    private step(id: string, input: Input): void {
        const node = this.nodes.get(id);
        if (node !== undefined) {
            this.perform(id, node.step(input, this.clock.now()));
        }
    }

    private perform(id: string, effects: readonly Effect[]): void {
        const { clock } = this;
        for (const effect of effects) {
            if (effect.type === "save-state" || effect.type === "append" || effect.type === "save-snapshot") {
                this.stored.set(id, applyWrite(this.stored.get(id) ?? foundingState([]), effect));
            }
            else if (effect.type === "sync") {
                const { sequence } = effect;
                const node = this.nodes.get(id);
                clock.schedule(clock.now() + this.random.next() * syncMs, () => {
                    if (this.nodes.get(id) === node) {
                        this.step(id, { type: "synced", sequence });
                    }
                });
            }
            else if (effect.type === "send") {
                const { message } = effect;
                clock.schedule(
                    clock.now() + 1 + this.random.next() * linkMs,
                    () => this.step(message.to, { type: "message", message }),
                );
            }
            else if (effect.type === "role" && effect.role === "leader") {
                expect(this.terms.get(effect.term) ?? id, "two leaders of a term").to.equal(id);
                this.terms.set(effect.term, id);
                this.ledAt ??= clock.now();
            }
        }
        this.timers.get(id)?.cancel();
        const nextTickAt = Math.max(clock.now(), this.nodes.get(id)?.nextTickAt ?? Infinity);
        this.timers.set(id, clock.schedule(nextTickAt, () => this.step(id, { type: "tick" })));
    }
}

describe("election after a start of all members", () => {
    const trials = 300;
    // No configuration can be confirmed before there is a leader, so that the whole fleet refuses requests until then.
    for (const size of [3, 5, 7]) {
        it(`takes two heartbeat intervals after the start of a majority of ${size}, and a second at most`, () => {
            const times = Array.from({ length: trials }, (...[, i]) => new StartingGroup(size, i + 1).runUntilLed())
                .sort((a, b) => a - b);
            expect(times[Math.floor(trials * 0.9)]).to.be.at.most(2 * options.heartbeatMs);
            expect(times.at(-1)).to.be.at.most(1_000);
        });
    }

    // A member that campaigns soon after its start must not cost a group its leader.
    it("leaves the leader of a group in office to which a member returns", () => {
        for (let seed = 1; seed <= 50; seed++) {
            const group = new StartingGroup(3, seed);
            group.runUntilLed();
            group.runFor(1_000);
            const [leader, ...others] = [...group.nodes.values()].sort((a, b) =>
                Number(b.status.role === "leader") - Number(a.status.role === "leader")
            );
            const term = leader?.status.term;
            for (const { id } of others) {
                group.stop(id);
                group.runFor(100);
                group.start(id);
                group.runFor(1_000);
            }
            expect(leader?.status, `seed ${seed}`).to.include({ role: "leader", term });
            expect(others.map(({ id }) => group.nodes.get(id)?.status.leader)).to.deep.equal([leader?.id, leader?.id]);
        }
    });
});
