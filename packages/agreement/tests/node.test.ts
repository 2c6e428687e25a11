import {
    AgreementNode,
    type AgreementOptions,
    foundingState,
    OptionsError,
    resolveOptions,
    StorageRollbackError,
} from "@lentilramp/agreement";
import { defaultSimulationSettings, type Host, Simulation } from "@lentilramp/model-check";
import { expect } from "chai";

function settled(options: Partial<AgreementOptions> = {}): { simulation: Simulation; leader: Host; } {
    const simulation = new Simulation({ ...defaultSimulationSettings, loss: 0, duplication: 0, options });
    simulation.run(3_000);
    const leader = simulation.leader();
    if (leader === undefined) {
        throw new Error("no leader after 3,000 ms");
    }
    return { simulation, leader };
}

function change(simulation: Simulation, leader: Host, id: string, request: object): void {
    simulation.step(leader, { type: "change-membership", id, change: request as never });
    simulation.run(500);
}

describe("AgreementNode", () => {
    // Guards against a returning member that raises the term and so deposes a healthy leader.
    it("is not disturbed by a member that returns from a partition", () => {
        const { simulation, leader } = settled();
        const term = leader.node!.status.term;
        const away = (leader.slot + 1) % 3;
        simulation.partition([0, 1, 2].map(slot => slot === away ? 1 : 0));
        simulation.run(10_000);
        simulation.partition([]);
        simulation.run(3_000);
        expect(simulation.leader()?.id).to.equal(leader.id);
        expect(leader.node!.status.term).to.equal(term);
    });

    // Guards against an isolated leader that keeps its role and a lease.
    it("steps down without a quorum, and its lease ends before the next leader's begins", () => {
        const { simulation, leader } = settled();
        simulation.partition([0, 1, 2].map(slot => slot === leader.slot ? 1 : 0));
        simulation.run(360);
        expect(leader.leaseUntil).to.equal(undefined);
        simulation.run(1_500);
        expect(leader.node!.status.role).to.not.equal("leader");
        expect(simulation.leader()?.id).to.not.equal(undefined);
    });

    // Guards against a planned stop that waits for the election timeout, and a lease that outlives the hand-over.
    it("hands over without an election timeout and loses no command", () => {
        const { simulation, leader } = settled();
        simulation.step(leader, { type: "propose", id: "before", command: "before" });
        simulation.step(leader, { type: "hand-over" });
        simulation.run(100);
        expect(simulation.leader()?.id).to.not.equal(leader.id);
        expect(leader.leaseUntil).to.equal(undefined);
        expect(simulation.committedCommands.has("before")).to.equal(true);
    });

    // Guards against a change of membership while a lost identity still counts towards the quorum.
    it("removes a lost identity before any other change, then takes the new one from learner to voter", () => {
        const { simulation, leader } = settled();
        const slot = (leader.slot + 1) % 3;
        const lost = simulation.host(slot).id;
        simulation.replace(slot);
        const joiner = simulation.host(slot);
        const add = { kind: "add-learner", id: joiner.id, address: "h", replaces: lost };
        change(simulation, leader, "early", add);
        change(simulation, leader, "other", { kind: "add-learner", id: "x", address: "x" });
        expect(simulation.refused).to.deep.equal(["early remove-lost-first", "other remove-lost-first"]);
        change(simulation, leader, "remove", { kind: "remove", id: lost });
        change(simulation, leader, "add", add);
        change(simulation, leader, "promote", { kind: "promote", id: joiner.id });
        change(simulation, leader, "again", { kind: "add-learner", id: lost, address: "h" });
        expect(simulation.refused.slice(2)).to.deep.equal(["again invalid-change"]);
        expect(joiner.node!.status.membership.members.map(m => m.id)).to.include(joiner.id).and.not.include(lost);
    });

    // Guards against a log that grows without bound, and a late member that cannot catch up by snapshot.
    it("bounds the log and brings a late member up to date by snapshot", () => {
        const { simulation, leader } = settled({ snapshotIntervalEntries: 20, retainedEntries: 5 });
        const late = (leader.slot + 1) % 3;
        simulation.crash(late);
        for (let i = 0; i < 200; i++) {
            simulation.step(leader, { type: "propose", id: `c${i}`, command: `c${i}` });
            simulation.run(20);
        }
        expect(leader.node!.status.logEntries).to.be.below(50);
        simulation.restart(late);
        simulation.run(1_000);
        expect(simulation.host(late).digest).to.equal(leader.digest);
        expect(simulation.host(late).node!.status.snapshotIndex).to.be.above(100);
    });

    // Guards against a start from storage that was rolled back, and a lease that outlasts the voters' promise.
    it("refuses a rolled-back storage and unsafe options", () => {
        const stored = { ...foundingState([{ id: "a", address: "a" }]), commitIndex: 3 };
        expect(() => new AgreementNode({ id: "a", stored, random: () => 0, now: 0 })).to.throw(StorageRollbackError);
        expect(() => resolveOptions({ leaseMs: 395 })).to.throw(OptionsError);
    });

    // Guards against a voter with a failed disk that still votes, acknowledges or leads, or leaves callers waiting.
    it("is passive after its storage failed", () => {
        const { simulation, leader } = settled();
        simulation.step(leader, { type: "storage-failed" });
        simulation.step(leader, { type: "propose", id: "late", command: "late" });
        expect(simulation.refused).to.deep.equal(["late not-leader"]);
        simulation.run(2_000);
        expect(leader.node!.status.role).to.equal("follower");
        expect(simulation.leader()?.id).to.not.equal(undefined);
        expect(simulation.leader()?.id).to.not.equal(leader.id);
    });

    // Guards against replies that pile up, and are all sent at once, while a disk does not finish a sync.
    it("holds one reply to the leader while a sync is in progress", () => {
        const stored = foundingState(["a", "b", "c"].map(id => ({ id, address: id })));
        const node = new AgreementNode({ id: "b", stored, random: () => 0, now: 0 });
        const heartbeat = { type: "append", from: "a", to: "b", term: 1, prevIndex: 0, prevTerm: 0 } as const;
        const rest = { entries: [], commitIndex: 0, round: 0 };
        const effects = [100, 200, 300].flatMap(sentAt =>
            node.step({ type: "message", message: { ...heartbeat, ...rest, sentAt } }, sentAt)
        );
        const sequence = effects.flatMap(effect => effect.type === "sync" ? [effect.sequence] : []);
        expect(effects.some(effect => effect.type === "send")).to.equal(false);
        const released = node.step({ type: "synced", sequence: sequence[0]! }, 310);
        const sends = released.flatMap(effect => effect.type === "send" ? [effect.message] : []);
        expect(sends.map(message => message.type === "append-reply" && message.sentAt)).to.deep.equal([300]);
    });
});
