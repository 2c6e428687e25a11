import { expect } from "chai";
import fc from "fast-check";
import { MembershipNetwork } from "./network.ts";

const ids = [..."01234567"].map(digit => `n${digit}`);

function startedNetwork(seed = 16): MembershipNetwork {
    const network = new MembershipNetwork(seed);
    network.startAll(8);
    ids.forEach(id => expect(network.liveIds(id)).to.deep.equal(ids.filter(other => other !== id)));
    return network;
}

describe("MembershipNode", () => {
    // Guards against callers that are directed to a crashed entry, and against live members declared dead with it.
    it("declares a crashed member dead at all nodes within 12 s, and no other member", () => {
        const network = startedNetwork();
        network.changes.length = 0;
        network.stop("n3");
        network.run(12_000);
        const dead = network.changes.filter(change => change.endsWith(" dead"));
        expect(dead.sort()).to.deep.equal(ids.filter(id => id !== "n3").map(id => `${id} sees n3 dead`));
    });

    // Guards against a live member declared dead when only the path between two nodes is broken.
    it("keeps a member alive when a single node cannot reach it", () => {
        const network = startedNetwork();
        network.changes.length = 0;
        network.isBlocked = (from, to) => [from, to].sort().join() === "n1,n2";
        network.run(120_000);
        expect(network.changes).to.deep.equal([]);
    });

    // Guards against a planned stop that is reported as a failure.
    it("reports a graceful leave as left, never as dead, and no longer probes the member", () => {
        const network = startedNetwork();
        network.changes.length = 0;
        network.input("n3", { kind: "leave" });
        network.run(10_000);
        network.stop("n3");
        network.run(60_000);
        expect(network.changes.sort()).to.deep.equal(ids.filter(id => id !== "n3").map(id => `${id} sees n3 left`));
    });

    // Guards against a restarted process that stays dead at the other nodes, also when its clock was set back.
    it("reports a restarted member as alive, with a higher and with a lower incarnation", () => {
        for (const incarnation of [1_000_000, 5]) {
            const network = startedNetwork();
            network.stop("n3");
            network.run(20_000);
            expect(network.liveIds("n0")).to.not.include("n3");
            network.start("n3", incarnation);
            network.publishList();
            network.run(10_000);
            network.running().forEach(({ id }) =>
                expect(network.liveIds(id)).to.deep.equal(ids.filter(other => other !== id))
            );
        }
    });

    // Guards against two halves of a group that stay separated after a partition has healed.
    it("merges both sides after a partition of an hour", () => {
        const network = startedNetwork();
        const side = (id: string) => id < "n4";
        network.isBlocked = (from, to) => side(from) !== side(to);
        network.run(3_600_000);
        expect(network.liveIds("n0")).to.deep.equal(["n1", "n2", "n3"]);
        network.isBlocked = () => false;
        network.run(60_000);
        ids.forEach(id => expect(network.liveIds(id)).to.deep.equal(ids.filter(other => other !== id)));
    });

    // Guards against a lagging list that changes the status of members.
    it("uses the platform's list only for candidates and for leaving members", () => {
        const network = startedNetwork();
        network.changes.length = 0;
        const list = network.instanceList.filter(({ id }) => id !== "n2").map(item => ({
            ...item,
            leaving: item.id === "n1",
        }));
        network.input("n0", { kind: "candidates", list: [...list, { id: "x", host: "h", port: 1, leaving: false }] });
        network.run(20_000);
        expect(network.changes).to.deep.equal([]);
        expect(network.node("n0").member("n1")).to.include({ status: "alive", leaving: true });
        expect(network.node("n0").member("n2")).to.include({ status: "alive", leaving: false });
    });

    // Guards against a node with a broken network that declares all others dead at the usual rate.
    it("lengthens the probe interval of a node whose probes fail", () => {
        const network = startedNetwork();
        network.isBlocked = (from, to) => from === "n0" || to === "n0";
        network.run(4_000);
        expect(network.node("n0").dump().localHealth).to.be.greaterThan(2);
        network.isBlocked = () => false;
        network.run(90_000);
        expect(network.node("n0").dump().localHealth).to.equal(1);
        expect(network.liveIds("n0")).to.have.length(7);
    });

    // Guards against member lists that stay different after crashes, restarts, leaves, partitions and packet loss.
    it("converges to the same members at all nodes after random faults", () => {
        fc.assert(
            fc.property(fc.integer(), fc.array(fc.nat(4), { maxLength: 12 }), (seed, faults) => {
                const network = startedNetwork(seed);
                for (const fault of faults) {
                    const id = ids[network.random.nextInt(8)]!;
                    const cut = network.random.nextInt(8);
                    const actions = [
                        () => network.stop(id),
                        () => network.start(id, network.random.nextInt(2) * network.now),
                        () => network.processes.get(id)!.running && network.input(id, { kind: "leave" }),
                        () => network.isBlocked = (a, b) => (ids.indexOf(a) < cut) !== (ids.indexOf(b) < cut),
                        () => network.lossRate = network.random.next() / 3,
                    ];
                    actions[fault]!();
                    network.publishList();
                    network.run(network.random.nextInt(20_000));
                }
                network.isBlocked = () => false;
                network.lossRate = 0;
                network.run(180_000);
                const present = network.running().filter(({ node }) => node.dump().hasLeft === false).map(({ id }) =>
                    id
                );
                for (const id of present) {
                    expect(network.liveIds(id)).to.deep.equal(present.filter(other => other !== id).sort());
                }
            }),
            { seed: 16, numRuns: 30 },
        );
    });
});
