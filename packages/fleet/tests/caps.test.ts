import {
    CapMeter,
    capReleaseDelayMs,
    type CapTolerance,
    type FleetCoverage,
    type IngressDescription,
    leaderContactTimeoutMs,
    peersToFollow,
} from "@lentilramp/fleet";
import { expect } from "chai";
import fc from "fast-check";
import { testWorkspace } from "../../catalog/tests/fixtures.ts";
import { fleetRoster } from "./fleet-roster.ts";

const tolerance: CapTolerance = { overshoot: 0.1, windowMs: 8_000, units: 110_000 };

interface Admitted {
    at: number;
    units: number;
}

/** Meters of a whole fleet that tell each other their use over the topology of the product, with a delay. */
class MeterFleet {
    readonly admitted: Admitted[] = [];
    private now = 0;
    private readonly roster: readonly IngressDescription[];
    private readonly meters = new Map<string, { meter: CapMeter; lifetime: string; covered: Map<string, number>; }>();
    /** Ingresses that the leader has not heard of for long, and whether an ingress is in contact with it. */
    silent = 0;
    inContact: (name: string) => boolean = () => true;
    private readonly peers = new Map<string, ReturnType<typeof peersToFollow>>();
    private readonly messages: { at: number; deliver: () => void; }[] = [];
    /** Ingresses without power: nobody hears them, and callers go elsewhere. */
    readonly dead = new Set<string>();
    /** Whether two ingresses reach each other. */
    reach: (a: string, b: string) => boolean = () => true;

    constructor(
        readonly count: number,
        domains: number,
        private readonly workspace: ReturnType<typeof testWorkspace>,
        /** Time between two lines and on the way, in milliseconds. */
        private readonly stepMs: number,
    ) {
        this.roster = fleetRoster(count, domains);
        for (const { name } of this.roster) {
            this.restart(name);
            this.peers.set(name, peersToFollow(name, this.roster));
        }
    }

    restart(name: string): void {
        const covered = new Map<string, number>();
        const coverage = (): FleetCoverage => ({
            coveredMembers: coveredBy(covered, "fleet"),
            members: this.count,
            silentMembers: this.silent,
            leaderAnsweredAt: this.inContact(name) ? this.now : -Infinity,
        });
        const meter = new CapMeter(tolerance, coverage, this.now);
        meter.setWorkspaces([this.workspace]);
        const runs = this.meters.get(name)?.lifetime.length ?? 0;
        this.meters.set(name, { meter, lifetime: "x".repeat(runs + 1), covered });
    }

    nameOf(index: number): string {
        return this.roster[index % this.count]?.name ?? "";
    }

    /** Offers requests of `units` to the ingresses in turn until the instant `until`. */
    offer(perSecond: number, units: number, until: number): void {
        const gapMs = 1_000 / perSecond;
        let next = this.now;
        let turn = 0;
        while (this.now < until) {
            this.exchange();
            this.now += this.stepMs;
            for (; next < this.now; next += gapMs) {
                while (this.dead.has(this.nameOf(turn * 7))) {
                    turn++;
                }
                const { meter } = this.meters.get(this.nameOf(turn++ * 7))!;
                if (meter.tryUse(this.workspace, units, next).admitted) {
                    this.admitted.push({ at: next, units });
                }
            }
        }
    }

    /** The most units that were admitted in any window. */
    get mostInWindow(): number {
        let most = 0;
        for (let from = 0; from < this.now; from += 250) {
            most = Math.max(most, this.used(from, from + tolerance.windowMs));
        }
        return most;
    }

    used(from: number, until: number): number {
        return this.admitted.filter(({ at }) => at >= from && at < until).reduce((sum, { units }) => sum + units, 0);
    }

    private exchange(): void {
        const due = this.messages.splice(0);
        for (const { deliver } of due) {
            deliver();
        }
        for (const { name } of this.roster) {
            for (const { peer, scope } of this.peers.get(name) ?? []) {
                this.tell(peer.name, name, scope);
            }
        }
    }

    private tell(from: string, to: string, scope: "own" | "group" | "fleet"): void {
        const sender = this.meters.get(from)!;
        const receiver = this.meters.get(to)!;
        if (!this.reach(from, to) || this.dead.has(from) || this.dead.has(to)) {
            receiver.covered.delete(`${scope} ${from}`);
            return;
        }
        const { totals } = sender.meter;
        const counts = scope === "own"
            ? totals.localTotals()
            : scope === "group"
            ? totals.groupTotals()
            : totals.fleetTotalsExcluding(to);
        const used = Object.fromEntries(counts);
        const covered = scope === "own" ? 1 : coveredBy(sender.covered, scope);
        const { lifetime } = sender;
        this.messages.push({
            at: this.now + this.stepMs,
            deliver: () => {
                if (this.meters.get(to) === receiver) {
                    receiver.meter.recordPeerUse(from, lifetime, used, scope, this.now);
                    receiver.covered.set(`${scope} ${from}`, covered);
                }
            },
        });
    }
}

function coveredBy(covered: ReadonlyMap<string, number>, scope: "group" | "fleet"): number {
    let sum = 1;
    for (const [key, count] of covered) {
        sum += scope === "fleet" || key.startsWith("own") ? count : 0;
    }
    return sum;
}

const exact: CapTolerance = { overshoot: 0, windowMs: 0, units: 0 };

/** A meter without tolerance that hears of `covered` of `members` ingresses. */
function lone(
    coveredMembers: number,
    members: number,
    leaderAnsweredAt = Infinity,
): { meter: CapMeter; coverage: FleetCoverage; } {
    const coverage = { coveredMembers, members, silentMembers: 0, leaderAnsweredAt };
    return { meter: new CapMeter(exact, () => coverage, 0), coverage };
}

describe("CapMeter", () => {
    const workspace = testWorkspace({ capPerSecond: 1_000, capBurst: 500, countsTokens: true, plainTokens: 10 });

    it("never admits more than burst, rate and one request over, whatever the arrivals", () => {
        fc.assert(
            fc.property(
                fc.array(fc.tuple(fc.nat(200), fc.integer({ min: 1, max: 400 })), { maxLength: 200 }),
                arrivals => {
                    const { meter } = lone(1, 2);
                    let now = 0;
                    let used = 0;
                    for (const [gap, units] of arrivals) {
                        now += gap;
                        used += meter.tryUse(workspace, units, now).admitted ? units : 0;
                    }
                    expect(used).to.be.at.most(250 + now * 0.5 + 400);
                },
            ),
        );
    });

    it("falls back to its own part when it hears nobody, because the others may use the rest", () => {
        const { meter, coverage } = lone(10, 10);
        expect(meter.tryUse(workspace, 40, 0).admitted).to.equal(true);
        coverage.coveredMembers = 1;
        // The part of one in ten holds 50 units and gains 100 a second.
        expect(meter.tryUse(workspace, 400, 5_000).admitted).to.equal(true);
        expect(meter.tryUse(workspace, 40, 6_000).admitted).to.equal(false);
        expect(meter.tryUse(workspace, 40, 9_500).admitted).to.equal(true);
    });

    it("admits nothing while the number of ingresses is not known", () => {
        const { meter, coverage } = lone(1, 0);
        const verdict = meter.tryUse(workspace, 1, 0);
        expect(!verdict.admitted && verdict.retryAt).to.equal(Infinity);
        expect(meter.fleetSizeKnown).to.equal(false);
        coverage.members = 1;
        expect(meter.tryUse(workspace, 300, 1_000)).to.deep.equal({ admitted: true });
    });

    // With nine of nineteen ingresses without power, the others refused half of what the caps allowed.
    it("takes over most of the part of a silent minority, and that minority uses only the rest", () => {
        const { meter, coverage } = lone(12, 20, 10_000);
        coverage.silentMembers = 8;
        expect(meter.part(10_100)).to.be.closeTo((12 + 8 * 0.7) / 20, 1e-9);
        const cut = lone(8, 20, 10_000);
        expect(cut.meter.part(10_000 + leaderContactTimeoutMs(20)) + meter.part(10_100)).to.be.at.most(1 + 1e-9);
        expect(capReleaseDelayMs(20)).to.be.above(leaderContactTimeoutMs(20));
        // Without a leader anywhere, a majority that hears of itself goes on with its part.
        expect(meter.part(20_000)).to.be.closeTo(0.6, 1e-9);
    });

    // After the loss of power of everything, each ingress used a thirtieth of the caps until a steward led again.
    it("uses its whole part when it has not heard a leader since its start", () => {
        expect(lone(1, 8, -Infinity).meter.part(1_000)).to.be.closeTo(1 / 8, 1e-9);
        expect(lone(1, 8, 0).meter.part(5_000)).to.be.closeTo(0.3 / 8, 1e-9);
    });

    // With nine of nineteen ingresses without power, the others used half of each cap although the lost ones used none.
    it("takes those that fell silent to go on as before for a moment, and shares what they leave", () => {
        const { meter, coverage } = lone(20, 20, Infinity);
        meter.setWorkspaces([workspace]);
        let sum = 0;
        for (let now = 0; now < 5_000; now += 50) {
            meter.recordPeerUse("hub", "run", { w: sum += 25 }, "fleet", now);
        }
        meter.tryUse(workspace, 1, 5_000);
        coverage.coveredMembers = 10;
        const used = (from: number, until: number): number => {
            let units = 0;
            for (let now = from; now < until; now += 10) {
                units += meter.tryUse(workspace, 20, now).admitted ? 20 : 0;
            }
            return units;
        };
        // Half of the burst at once, then half of the cap and half of what the lost half leaves of the other.
        expect(used(5_010, 6_010)).to.be.within(250 + 500 + 80, 250 + 500 + 160);
        used(6_010, 8_000);
        expect(used(8_000, 10_000)).to.be.within(960, 1_040);
    });

    it("takes nothing over from half of the fleet or more, which may be at work with another leader", () => {
        const { meter, coverage } = lone(10, 20, 10_000);
        coverage.silentMembers = 10;
        expect(meter.part(10_100)).to.be.closeTo(0.5, 1e-9);
    });

    it("lets small requests of a workspace at its cap pass before large ones", () => {
        const { coverage } = lone(1, 1);
        const meter = new CapMeter({ overshoot: 0.1, windowMs: 8_000, units: 200 }, () => coverage, 0);
        let now = 0;
        let small = 0;
        for (; now < 20_000; now += 50) {
            // Large ones alone ask for three times the cap.
            meter.tryUse(workspace, 150, now);
            small += now % 500 === 0 && meter.tryUse(workspace, 2, now).admitted ? 1 : 0;
        }
        expect(small).to.equal(40);
    });

    it("counts a plain request as the stated number of tokens", () => {
        expect(CapMeter.requestUnits(workspace, undefined)).to.equal(10);
        expect(CapMeter.requestUnits(workspace, 70)).to.equal(70);
        expect(CapMeter.requestUnits({ ...workspace, countsTokens: false }, 70)).to.equal(1);
    });

    it("tells the others of what was given back, so that refused requests do not use up the cap", () => {
        const [one, two] = [lone(2, 2).meter, lone(2, 2).meter];
        for (const meter of [one, two]) {
            meter.setWorkspaces([workspace]);
        }
        two.recordPeerUse("one", "run", Object.fromEntries(one.totals.localTotals()), "own", 0);
        two.tryUse(workspace, 1, 1_000);
        one.tryUse(workspace, 400, 1_000);
        two.recordPeerUse("one", "run", Object.fromEntries(one.totals.localTotals()), "own", 1_000);
        expect(two.tryUse(workspace, 200, 1_000).admitted).to.equal(false);
        one.refund(workspace, 400);
        two.recordPeerUse("one", "run", Object.fromEntries(one.totals.localTotals()), "own", 1_000);
        expect(two.tryUse(workspace, 200, 1_000).admitted).to.equal(true);
    });

    // A member that became a hub's follower took the use of the whole fleet for that of one ingress, a million units.
    it("takes what a peer says in another scope as a new starting point", () => {
        const { meter } = lone(20, 20);
        meter.setWorkspaces([workspace]);
        meter.recordPeerUse("hub", "run", { w: 10 }, "own", 0);
        meter.recordPeerUse("hub", "run", { w: 900_000 }, "fleet", 100);
        expect(meter.tryUse(workspace, 100, 1_000).admitted).to.equal(true);
        meter.recordPeerUse("hub", "run", { w: 902_000 }, "fleet", 1_000);
        expect(meter.tryUse(workspace, 1, 1_100).admitted).to.equal(false);
    });
});

describe("caps over a fleet", () => {
    const workspace = testWorkspace({ capPerSecond: 100_000, capBurst: 100_000, countsTokens: true });
    const allowed = (100_000 * 8 + 100_000) * 1.1 + tolerance.units;

    for (const [count, domains] of [[8, 3], [65, 3], [191, 5]] as const) {
        // Pattern: one workspace sends several times its usual, and its requests arrive everywhere.
        it(`hold for a workspace at four times its cap, and serve what they allow, over ${count} ingresses`, () => {
            const fleet = new MeterFleet(count, domains, workspace, 50);
            fleet.offer(10, 4_000, 4_000);
            fleet.offer(100, 4_000, 20_000);
            expect(fleet.mostInWindow).to.be.at.most(allowed);
            expect(fleet.used(8_000, 20_000)).to.be.at.least(100_000 * 12 * 0.95);
        });
    }

    // 1,178 refusals in six seconds: split over 191 ingresses, a cap was less than one prompt in each of them.
    it("serve prompts that are larger than an ingress's part of the cap", () => {
        const fleet = new MeterFleet(191, 5, workspace, 50);
        fleet.offer(5, 1_000, 2_000);
        fleet.offer(2, 39_600, 10_000);
        expect(fleet.used(2_000, 10_000)).to.equal(16 * 39_600);
    });

    it("hold over both parts of a fleet that do not hear of each other", () => {
        const fleet = new MeterFleet(65, 3, workspace, 50);
        fleet.offer(100, 4_000, 8_000);
        const west = new Set(
            Array.from({ length: 65 }, (unused, i) => {
                void unused;
                return fleet.nameOf(i);
            }).filter(name => name.startsWith("front-0")),
        );
        fleet.reach = (a, b) => west.has(a) === west.has(b);
        fleet.offer(100, 4_000, 11_000);
        fleet.inContact = name => !west.has(name);
        fleet.silent = west.size;
        fleet.offer(100, 4_000, 24_000);
        fleet.reach = () => true;
        fleet.inContact = () => true;
        fleet.silent = 0;
        fleet.offer(100, 4_000, 32_000);
        expect(fleet.mostInWindow).to.be.at.most(allowed);
        expect(fleet.used(9_000, 24_000)).to.be.at.least(100_000 * 15 * 0.8);
    });

    it("hold while processes restart, which know nothing of what was used before", () => {
        const fleet = new MeterFleet(65, 3, workspace, 50);
        fleet.offer(100, 4_000, 12_000);
        for (let i = 0; i < 65; i += 3) {
            fleet.restart(fleet.nameOf(i));
        }
        fleet.offer(100, 4_000, 24_000);
        expect(fleet.mostInWindow).to.be.at.most(allowed);
        expect(fleet.used(12_000, 24_000)).to.be.at.least(100_000 * 12 * 0.9);
    });

    // Pattern: half of the ingresses lose power under a workspace at four times its cap, and come back.
    it("hold, and serve most of what they allow, while half of the ingresses are without power", () => {
        const fleet = new MeterFleet(65, 3, workspace, 50);
        fleet.offer(100, 4_000, 10_000);
        for (let i = 0; i < 65; i += 2) {
            fleet.dead.add(fleet.nameOf(i));
        }
        fleet.offer(100, 4_000, 11_300);
        fleet.silent = fleet.dead.size;
        fleet.offer(100, 4_000, 12_000);
        const back = [...fleet.dead];
        fleet.dead.clear();
        back.forEach(name => fleet.restart(name));
        fleet.silent = 0;
        fleet.offer(100, 4_000, 24_000);
        expect(fleet.mostInWindow).to.be.at.most(allowed);
        expect(fleet.used(10_000, 12_000)).to.be.at.least(100_000 * 2 * 0.5);
        expect(fleet.used(12_000, 24_000)).to.be.at.least(100_000 * 12 * 0.9);
    });
});
