import {
    AgreementNode,
    type AgreementOptions,
    type Effect,
    foundingState,
    type Input,
    OptionsError,
    resolveOptions,
    StorageRollbackError,
} from "@lentilramp/agreement";
import { defaultSimulationSettings, type Host, Simulation } from "@lentilramp/model-check";
import { expect } from "chai";

function startSettledGroup(options: Partial<AgreementOptions> = {}): { simulation: Simulation; leader: Host; } {
    const simulation = new Simulation({ ...defaultSimulationSettings, loss: 0, duplication: 0, options });
    simulation.run(3_000);
    const leader = simulation.leader();
    if (leader === undefined) {
        throw new Error("no leader after 3,000 ms");
    }
    return { simulation, leader };
}

function changeMembership(simulation: Simulation, leader: Host, id: string, request: object): void {
    simulation.step(leader, { type: "change-membership", id, change: request as never });
    simulation.run(500);
}

describe("AgreementNode", () => {
    it("does not depose a healthy leader by the raised term of a member that returns from a partition", () => {
        const { simulation, leader } = startSettledGroup();
        const term = leader.node!.status.term;
        const isolatedSlot = (leader.slot + 1) % 3;
        simulation.partition([0, 1, 2].map(slot => slot === isolatedSlot ? 1 : 0));
        simulation.run(10_000);
        simulation.partition([]);
        simulation.run(3_000);
        expect(simulation.leader()?.id).to.equal(leader.id);
        expect(leader.node!.status.term).to.equal(term);
    });

    it("neither stays leader nor keeps its lease until the next leader's begins when a partition isolates it", () => {
        const { simulation, leader } = startSettledGroup();
        simulation.partition([0, 1, 2].map(slot => slot === leader.slot ? 1 : 0));
        simulation.run(360);
        expect(leader.leaseUntil).to.equal(undefined);
        simulation.run(1_500);
        expect(leader.node!.status.role).to.not.equal("leader");
        expect(simulation.leader()?.id).to.not.equal(undefined);
    });

    // A planned stop must not wait for the election timeout.
    it("neither waits for an election timeout nor keeps its lease nor loses a command in a hand-over", () => {
        const { simulation, leader } = startSettledGroup();
        simulation.step(leader, { type: "propose", id: "before", command: "before" });
        simulation.step(leader, { type: "hand-over" });
        simulation.run(100);
        expect(simulation.leader()?.id).to.not.equal(leader.id);
        expect(leader.leaseUntil).to.equal(undefined);
        expect(simulation.committedCommands.has("before")).to.equal(true);
    });

    // The new identity is added as a learner and then becomes a voter.
    it("does not change the membership while an identity that lost its disk still counts towards the quorum", () => {
        const { simulation, leader } = startSettledGroup();
        const slot = (leader.slot + 1) % 3;
        const lost = simulation.host(slot).id;
        simulation.replace(slot);
        const joiner = simulation.host(slot);
        const add = { kind: "add-learner", id: joiner.id, address: "h", replaces: lost };
        changeMembership(simulation, leader, "early", add);
        changeMembership(simulation, leader, "other", { kind: "add-learner", id: "x", address: "x" });
        expect(simulation.refused).to.deep.equal(["early remove-lost-first", "other remove-lost-first"]);
        changeMembership(simulation, leader, "remove", { kind: "remove", id: lost });
        changeMembership(simulation, leader, "add", add);
        changeMembership(simulation, leader, "promote", { kind: "promote", id: joiner.id });
        changeMembership(simulation, leader, "again", { kind: "add-learner", id: lost, address: "h" });
        expect(simulation.refused.slice(2)).to.deep.equal(["again invalid-change"]);
        expect(joiner.node!.status.membership.members.map(m => m.id)).to.include(joiner.id).and.not.include(lost);
    });

    it("neither grows its log without bound nor fails to bring a late member up to date by snapshot", () => {
        const { simulation, leader } = startSettledGroup({ snapshotIntervalEntries: 20, retainedEntries: 5 });
        const lateSlot = (leader.slot + 1) % 3;
        simulation.crash(lateSlot);
        for (let i = 0; i < 200; i++) {
            simulation.step(leader, { type: "propose", id: `c${i}`, command: `c${i}` });
            simulation.run(20);
        }
        expect(leader.node!.status.logEntries).to.be.below(50);
        simulation.restart(lateSlot);
        simulation.run(1_000);
        expect(simulation.host(lateSlot).digest).to.equal(leader.digest);
        expect(simulation.host(lateSlot).node!.status.snapshotIndex).to.be.above(100);
    });

    // Guards against a log of whole configurations that fills the disk, and that a successor receives one by one.
    it("bounds its log by the size of the commands, however few they are", () => {
        const { simulation, leader } = startSettledGroup({
            snapshotIntervalEntries: 1_000,
            snapshotIntervalChars: 1_000,
            retainedEntries: 100,
            retainedChars: 300,
        });
        const lateSlot = (leader.slot + 1) % 3;
        simulation.crash(lateSlot);
        for (let i = 0; i < 60; i++) {
            simulation.step(leader, { type: "propose", id: `c${i}`, command: `${i}`.padEnd(200, "x") });
            simulation.run(20);
        }
        // One command is retained before the newest snapshot, five make the next one due.
        expect(leader.node!.status.logEntries).to.be.at.most(1 + 5 + 1);
        simulation.restart(lateSlot);
        simulation.run(1_000);
        expect(simulation.host(lateSlot).digest).to.equal(leader.digest);
        expect(simulation.host(lateSlot).node!.status.snapshotIndex).to.be.above(50);
    });

    it("takes no snapshots more often than their size pays for", () => {
        const stored = foundingState([{ id: "a", address: "a" }]);
        const node = new AgreementNode({
            id: "a",
            stored,
            options: { snapshotIntervalChars: 100 },
            random: () => 0.5,
            now: 0,
        });
        const snapshotState = "s".repeat(1_000);
        let snapshots = 0;
        const run = (input: Input, now: number): void => {
            for (const effect of node.step(input, now)) {
                if (effect.type === "sync") {
                    run({ type: "synced", sequence: effect.sequence }, now);
                }
                else if (effect.type === "snapshot-due") {
                    snapshots++;
                    run({ type: "snapshot-taken", index: effect.index, state: snapshotState }, now);
                }
            }
        };
        node.start();
        run({ type: "tick" }, 1_000);
        run({ type: "tick" }, 2_000);
        for (let i = 0; i < 110; i++) {
            run({ type: "propose", id: `c${i}`, command: "x".repeat(100) }, 2_000 + i);
        }
        expect(snapshots).to.equal(1 + 10);
    });

    // Guards against a leader that spends its time on sending one large configuration again and again, so that no
    // change is confirmed any more.
    it("does not repeat a large command before there was time for it to arrive", () => {
        const { simulation, leader } = startSettledGroup({ transferCharsPerMs: 1_000 });
        const command = "x".repeat(300_000);
        const { now } = simulation;
        const sent = leader.node!.step({ type: "propose", id: "large", command }, leader.localTime(now));
        let times = 0;
        const count = (effects: readonly Effect[]): void => {
            times +=
                effects.filter(effect =>
                    effect.type === "send" && effect.message.type === "append" && effect.message.entries.length > 0
                ).length;
        };
        count(sent);
        for (let ms = 0; ms < 290; ms += 10) {
            count(leader.node!.step({ type: "tick" }, leader.localTime(now + ms)));
        }
        expect(times).to.equal(2);
        for (let ms = 300; ms < 450; ms += 10) {
            count(leader.node!.step({ type: "tick" }, leader.localTime(now + ms)));
        }
        expect(times).to.equal(4);
    });

    // A member whose disk is full cannot store its vote, so no campaign of it succeeds. Terms that it raises meanwhile
    // keep it from following the next leader, and depose that leader as soon as the disk has room.
    it("does not raise its term again before its vote of the term before is durable", () => {
        const stored = foundingState(["a", "b", "c"].map(id => ({ id, address: id })));
        const node = new AgreementNode({ id: "a", stored, random: () => 0.5, now: 0 });
        node.start();
        for (let now = 0; now < 10_000; now += 10) {
            for (const effect of node.step({ type: "tick" }, now)) {
                if (effect.type === "send" && effect.message.type === "pre-vote") {
                    const { to: from, from: to, asked, term } = effect.message;
                    node.step({
                        type: "message",
                        message: { type: "pre-vote-reply", from, to, term, asked, granted: true },
                    }, now);
                }
            }
        }
        expect(node.status.term).to.equal(1);
        const sent = node.step({ type: "synced", sequence: Infinity }, 10_000).map(effect =>
            effect.type === "send" ? effect.message.type : effect.type
        );
        expect(sent).to.deep.equal(["vote", "vote"]);
    });

    it("accepts neither a rolled-back storage nor a lease that outlasts the time that voters withhold votes", () => {
        const stored = { ...foundingState([{ id: "a", address: "a" }]), commitIndex: 3 };
        expect(() => new AgreementNode({ id: "a", stored, random: () => 0, now: 0 })).to.throw(StorageRollbackError);
        expect(() => resolveOptions({ leaseMs: 395 })).to.throw(OptionsError);
    });

    it("neither votes, acknowledges, leads nor leaves callers waiting after its storage failed", () => {
        const { simulation, leader } = startSettledGroup();
        simulation.step(leader, { type: "storage-failed" });
        simulation.step(leader, { type: "propose", id: "late", command: "late" });
        expect(simulation.refused).to.deep.equal(["late not-leader"]);
        simulation.run(2_000);
        expect(leader.node!.status.role).to.equal("follower");
        expect(simulation.leader()?.id).to.not.equal(undefined);
        expect(simulation.leader()?.id).to.not.equal(leader.id);
    });

    it("does not accumulate replies to the leader, and send all of them at once, during a slow sync", () => {
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
