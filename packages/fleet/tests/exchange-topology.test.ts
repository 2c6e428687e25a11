import { type FollowedPeer, type IngressDescription, peersToFollow } from "@lentilramp/fleet";
import { expect } from "chai";
import { fleetRoster } from "./fleet-roster.ts";

/** Returns the feeds that each ingress follows. */
function topology(
    roster: readonly IngressDescription[],
    suspects: ReadonlySet<string> = new Set(),
): Map<string, FollowedPeer[]> {
    return new Map(roster.map(({ name }) => [name, peersToFollow(name, roster, suspects)]));
}

/** Returns the names of the ingresses covered by the feeds of `name` and itself; a repeated name is a fault. */
function coveredIngresses(
    peers: Map<string, FollowedPeer[]>,
    name: string,
    scope: FollowedPeer["scope"],
    asker = "",
): string[] {
    const names = [name];
    for (const { peer, scope: followed } of peers.get(name) ?? []) {
        if (peer.name !== asker && (scope === "fleet" || scope === "group" && followed === "own")) {
            names.push(...coveredIngresses(peers, peer.name, followed, name));
        }
    }
    return names;
}

describe("peersToFollow", () => {
    for (const [count, domains] of [[1, 1], [6, 3], [12, 3], [13, 3], [19, 5], [65, 3], [191, 5], [400, 5]] as const) {
        it(`covers every other ingress exactly once for each of ${count} ingresses in ${domains} domains`, () => {
            const roster = fleetRoster(count, domains);
            const peers = topology(roster);
            for (const { name } of roster) {
                const names = coveredIngresses(peers, name, "fleet");
                expect(new Set(names).size, name).to.equal(count);
                expect(names, name).to.have.length(count);
            }
        });
    }

    // A full mesh of 191 ingresses needs 36,290 feeds, each with a heartbeat every 250 ms.
    it("keeps the number of feeds linear in the number of ingresses and bounded at each of them", () => {
        for (const count of [65, 191, 400]) {
            const peers = topology(fleetRoster(count, 5));
            const feeds = [...peers.values()].map(list => list.length);
            expect(feeds.reduce((sum, own) => sum + own, 0)).to.be.at.most(3 * count);
            expect(Math.max(...feeds)).to.be.at.most(80);
        }
    });

    it("replaces a hub that stopped responding by another member of its group", () => {
        const roster = fleetRoster(65, 3);
        const member = roster.find(({ name }) => peersToFollow(name, roster).length === 1)!;
        const [hub] = peersToFollow(member.name, roster);
        const next = topology(roster.filter(({ name }) => name !== hub?.peer.name), new Set([hub!.peer.name]));
        const suspected = topology(roster, new Set([hub!.peer.name]));
        const [second] = suspected.get(member.name) ?? [];
        const name = second?.peer.name ?? member.name;
        expect(name).to.not.equal(hub?.peer.name);
        expect(suspected.get(name)?.length).to.be.above(1);
        expect(next.get(name)?.length).to.be.above(1);
    });

    it("does not fail for an ingress that is missing in the roster", () => {
        expect(peersToFollow("new", fleetRoster(30, 3))).to.deep.equal([]);
        expect(peersToFollow("new", fleetRoster(5, 3))).to.have.length(5);
    });
});
