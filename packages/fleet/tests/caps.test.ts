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

/** Simulates a fleet whose meters exchange their totals over the real topology, with a delay. */
class MeterFleet {
    readonly admitted: Admitted[] = [];
    private now = 0;
    private readonly roster: readonly IngressDescription[];
    private readonly meters = new Map<string, { meter: CapMeter; lifetime: string; covered: Map<string, number>; }>();
    /** Number of silent ingresses as counted by the leader. */
    silentMembers = 0;
    /** Whether an ingress is in contact with the leader. */
    inContact: (name: string) => boolean = () => true;
    private readonly peers = new Map<string, ReturnType<typeof peersToFollow>>();
    private readonly messages: { at: number; deliver: () => void; }[] = [];
    /** Ingresses without power; they exchange no messages, and callers use others. */
    readonly stopped = new Set<string>();
    /** Whether two ingresses can reach each other. */
    canReach: (a: string, b: string) => boolean = () => true;

    constructor(
        readonly count: number,
        domains: number,
        private readonly workspace: ReturnType<typeof testWorkspace>,
        /** Interval between two messages of a feed, and their delay, in milliseconds. */
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
            silentMembers: this.silentMembers,
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

    /** Sends requests of `units` to the ingresses in turn until the instant `until`. */
    offer(perSecond: number, units: number, until: number): void {
        const gapMs = 1_000 / perSecond;
        let next = this.now;
        let nextIngress = 0;
        while (this.now < until) {
            this.exchange();
            this.now += this.stepMs;
            for (; next < this.now; next += gapMs) {
                while (this.stopped.has(this.nameOf(nextIngress * 7))) {
                    nextIngress++;
                }
                const { meter } = this.meters.get(this.nameOf(nextIngress++ * 7))!;
                if (meter.tryUse(this.workspace, units, next).admitted) {
                    this.admitted.push({ at: next, units });
                }
            }
        }
    }

    /** Largest number of units admitted in any window. */
    get maxUnitsInWindow(): number {
        let maxUnits = 0;
        for (let from = 0; from < this.now; from += 250) {
            maxUnits = Math.max(maxUnits, this.used(from, from + tolerance.windowMs));
        }
        return maxUnits;
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
                this.sendTotals(peer.name, name, scope);
            }
        }
    }

    private sendTotals(from: string, to: string, scope: "own" | "group" | "fleet"): void {
        const sender = this.meters.get(from)!;
        const receiver = this.meters.get(to)!;
        if (!this.canReach(from, to) || this.stopped.has(from) || this.stopped.has(to)) {
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

/** Returns a meter without tolerance that receives reports from `coveredMembers` of `members` ingresses. */
function meterCovering(
    coveredMembers: number,
    members: number,
    leaderAnsweredAt = Infinity,
): { meter: CapMeter; coverage: FleetCoverage; } {
    const coverage = { coveredMembers, members, silentMembers: 0, leaderAnsweredAt };
    return { meter: new CapMeter(exact, () => coverage, 0), coverage };
}

describe("CapMeter", () => {
    const workspace = testWorkspace({ capPerSecond: 1_000, capBurst: 500, countsTokens: true, defaultTokens: 10 });

    it("never admits more than burst, rate and one request in excess, for any sequence of arrivals", () => {
        fc.assert(
            fc.property(
                fc.array(fc.tuple(fc.nat(200), fc.integer({ min: 1, max: 400 })), { maxLength: 200 }),
                arrivals => {
                    const { meter } = meterCovering(1, 2);
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

    it("falls back to one ingress's share without reports of peers, because the peers may use the rest", () => {
        const { meter, coverage } = meterCovering(10, 10);
        expect(meter.tryUse(workspace, 40, 0).admitted).to.equal(true);
        coverage.coveredMembers = 1;
        // A share of one tenth holds 50 units and gains 100 per second.
        expect(meter.tryUse(workspace, 400, 5_000).admitted).to.equal(true);
        expect(meter.tryUse(workspace, 40, 6_000).admitted).to.equal(false);
        expect(meter.tryUse(workspace, 40, 9_500).admitted).to.equal(true);
    });

    it("admits nothing while the number of ingresses is unknown", () => {
        const { meter, coverage } = meterCovering(1, 0);
        const verdict = meter.tryUse(workspace, 1, 0);
        expect(!verdict.admitted && verdict.retryAt).to.equal(Infinity);
        expect(meter.fleetSizeKnown).to.equal(false);
        coverage.members = 1;
        expect(meter.tryUse(workspace, 300, 1_000)).to.deep.equal({ admitted: true });
    });

    // With nine of nineteen ingresses without power, the others refused half of the load that the caps permit.
    it("takes over most of a silent minority's share, while that minority uses only the rest", () => {
        const { meter, coverage } = meterCovering(12, 20, 10_000);
        coverage.silentMembers = 8;
        expect(meter.capShare(10_100)).to.be.closeTo((12 + 8 * 0.7) / 20, 1e-9);
        const cut = meterCovering(8, 20, 10_000);
        expect(cut.meter.capShare(10_000 + leaderContactTimeoutMs(20)) + meter.capShare(10_100)).to.be.at.most(
            1 + 1e-9,
        );
        expect(capReleaseDelayMs(20)).to.be.above(leaderContactTimeoutMs(20));
        // Without any leader, a connected majority continues with its share.
        expect(meter.capShare(20_000)).to.be.closeTo(0.6, 1e-9);
    });

    // After a power loss of the whole fleet, each ingress used a thirtieth of the caps until a steward led again.
    it("uses its whole share if no leader has answered since its start", () => {
        expect(meterCovering(1, 8, -Infinity).meter.capShare(1_000)).to.be.closeTo(1 / 8, 1e-9);
        expect(meterCovering(1, 8, 0).meter.capShare(5_000)).to.be.closeTo(0.3 / 8, 1e-9);
    });

    // With nine of nineteen ingresses without power, the others used only half of each cap, and the lost ones nothing.
    it("assumes for a short time that lost peers continue their use, and shares the rest of their part", () => {
        const { meter, coverage } = meterCovering(20, 20, Infinity);
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
        // Half of the burst at once, then half of the cap and half of what the lost peers leave of their half.
        expect(used(5_010, 6_010)).to.be.within(250 + 500 + 80, 250 + 500 + 160);
        used(6_010, 8_000);
        expect(used(8_000, 10_000)).to.be.within(960, 1_040);
    });

    it("takes over no share of half of the fleet or more, which may be running under another leader", () => {
        const { meter, coverage } = meterCovering(10, 20, 10_000);
        coverage.silentMembers = 10;
        expect(meter.capShare(10_100)).to.be.closeTo(0.5, 1e-9);
    });

    it("admits small requests of a workspace at its cap, although large ones compete for the units", () => {
        const { coverage } = meterCovering(1, 1);
        const meter = new CapMeter({ overshoot: 0.1, windowMs: 8_000, units: 200 }, () => coverage, 0);
        let now = 0;
        let small = 0;
        for (; now < 20_000; now += 50) {
            // The large requests alone need three times the cap.
            meter.tryUse(workspace, 150, now);
            small += now % 500 === 0 && meter.tryUse(workspace, 2, now).admitted ? 1 : 0;
        }
        expect(small).to.equal(40);
    });

    it("counts a request without declared tokens as the number that its workspace sets", () => {
        expect(CapMeter.requestUnits(workspace, undefined)).to.equal(10);
        expect(CapMeter.requestUnits(workspace, 70)).to.equal(70);
        expect(CapMeter.requestUnits({ ...workspace, countsTokens: false }, 70)).to.equal(1);
    });

    // A request of a thousand million units was admitted by a full bucket, and its debt refused all others for days.
    it("refuses a request beyond what the cap allows in a window, and goes on to admit others", () => {
        const meter = new CapMeter(
            { overshoot: 0.1, windowMs: 8_000, units: 50 },
            () => ({ coveredMembers: 1, members: 1, silentMembers: 0, leaderAnsweredAt: Infinity }),
            0,
        );
        for (const units of [9_401, 1e9, 1e300]) {
            const verdict = meter.tryUse(workspace, units, 0);
            expect(!verdict.admitted && verdict.retryAt, String(units)).to.equal(Infinity);
        }
        expect(meter.tryUse(workspace, 9_400, 0).admitted).to.equal(true);
        expect(meter.tryUse(workspace, 10, 10_000).admitted).to.equal(true);
        expect([...meter.totals.localTotals()]).to.deep.equal([["w", 9_410]]);
    });

    it("reports refunds to peers, so that requests that were not sent do not use up the cap", () => {
        const [one, two] = [meterCovering(2, 2).meter, meterCovering(2, 2).meter];
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

    // When a member became a follower of a hub, it counted the totals of the whole fleet as one ingress's new use, a
    // million units.
    it("takes the first totals of a peer after a change of scope as a baseline, not as new use", () => {
        const { meter } = meterCovering(20, 20);
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
        // Load pattern: one workspace sends a multiple of its usual load, and its requests arrive at all ingresses.
        it(`hold and admit what they permit for a workspace at four times its cap, over ${count} ingresses`, () => {
            const fleet = new MeterFleet(count, domains, workspace, 50);
            fleet.offer(10, 4_000, 4_000);
            fleet.offer(100, 4_000, 20_000);
            expect(fleet.maxUnitsInWindow).to.be.at.most(allowed);
            expect(fleet.used(8_000, 20_000)).to.be.at.least(100_000 * 12 * 0.95);
        });
    }

    // Divided among 191 ingresses, a cap was smaller than one prompt at each: 1,178 refusals in six seconds.
    it("admit prompts that are larger than one ingress's share of the cap", () => {
        const fleet = new MeterFleet(191, 5, workspace, 50);
        fleet.offer(5, 1_000, 2_000);
        fleet.offer(2, 39_600, 10_000);
        expect(fleet.used(2_000, 10_000)).to.equal(16 * 39_600);
    });

    it("hold over both sides of a network partition", () => {
        const fleet = new MeterFleet(65, 3, workspace, 50);
        fleet.offer(100, 4_000, 8_000);
        const west = new Set(
            Array.from({ length: 65 }, (unused, i) => {
                void unused;
                return fleet.nameOf(i);
            }).filter(name => name.startsWith("front-0")),
        );
        fleet.canReach = (a, b) => west.has(a) === west.has(b);
        fleet.offer(100, 4_000, 11_000);
        fleet.inContact = name => !west.has(name);
        fleet.silentMembers = west.size;
        fleet.offer(100, 4_000, 24_000);
        fleet.canReach = () => true;
        fleet.inContact = () => true;
        fleet.silentMembers = 0;
        fleet.offer(100, 4_000, 32_000);
        expect(fleet.maxUnitsInWindow).to.be.at.most(allowed);
        expect(fleet.used(9_000, 24_000)).to.be.at.least(100_000 * 15 * 0.8);
    });

    it("hold while processes restart without any record of earlier use", () => {
        const fleet = new MeterFleet(65, 3, workspace, 50);
        fleet.offer(100, 4_000, 12_000);
        for (let i = 0; i < 65; i += 3) {
            fleet.restart(fleet.nameOf(i));
        }
        fleet.offer(100, 4_000, 24_000);
        expect(fleet.maxUnitsInWindow).to.be.at.most(allowed);
        expect(fleet.used(12_000, 24_000)).to.be.at.least(100_000 * 12 * 0.9);
    });

    // Failure pattern: half of the ingresses lose power while a workspace sends four times its cap, and restart.
    it("hold and admit most of what they permit while half of the ingresses are without power", () => {
        const fleet = new MeterFleet(65, 3, workspace, 50);
        fleet.offer(100, 4_000, 10_000);
        for (let i = 0; i < 65; i += 2) {
            fleet.stopped.add(fleet.nameOf(i));
        }
        fleet.offer(100, 4_000, 11_300);
        fleet.silentMembers = fleet.stopped.size;
        fleet.offer(100, 4_000, 12_000);
        const back = [...fleet.stopped];
        fleet.stopped.clear();
        back.forEach(name => fleet.restart(name));
        fleet.silentMembers = 0;
        fleet.offer(100, 4_000, 24_000);
        expect(fleet.maxUnitsInWindow).to.be.at.most(allowed);
        expect(fleet.used(10_000, 12_000)).to.be.at.least(100_000 * 2 * 0.5);
        expect(fleet.used(12_000, 24_000)).to.be.at.least(100_000 * 12 * 0.9);
    });
});
