import { expect } from "chai";
import { z } from "zod";
import { FaultGroup } from "./fault-group.ts";

const resultSchema = z.looseObject({ ok: z.boolean(), version: z.number(), error: z.string().optional() });

describe("operators whose calls fail", () => {
    let group: FaultGroup;

    beforeEach(async () => {
        group = new FaultGroup();
        await group.startAll([]);
        await group.found(group.configuration(0.1), []);
    });

    afterEach(() => group.close());

    async function holds(name: string, version: number): Promise<void> {
        await group.until(async () => Number((await group.status(name)).version) >= version);
    }

    // Guards against a change that is applied twice, or refused, when its answer was lost and the operator resends it.
    it("answers a resent change with its first result after the connection was cut", async () => {
        const leader = await group.leader();
        const { version: base, claimGenerations } = await group.current();
        const params = { operationId: "lost", baseVersion: base };
        const configuration = { ...group.configuration(0.2), claimGenerations };
        group.network.silence(leader, "test");
        const lost = group.call(leader, "configuration.propose", { ...params, configuration }, resultSchema)
            .then(() => "answered", () => "lost");
        const other = group.members.find(member => member.name !== leader)?.name ?? "";
        await holds(other, base + 1);
        group.network.cut("test", leader);
        expect(await lost).to.equal("lost");
        group.network.heal();
        const again = await group.propose("lost", base, configuration);
        expect(again).to.include({ ok: true, version: base + 1 });
        expect((await group.current()).version).to.equal(base + 1);
    });

    // Guards against two winners for one base version, or results that change, when the leader stops in between.
    it("gives one winner and equal answers when equal base versions meet a leader that stops", async () => {
        const leader = await group.leader();
        const current = await group.current();
        const proposals = ["a", "b", "c", "d"].map((operationId, i) => ({
            operationId,
            baseVersion: current.version,
            configuration: { ...current, costWeight: 0.2 + i / 10 },
        }));
        group.network.silence(leader, "test");
        const lost = proposals.map(params =>
            group.call(leader, "configuration.propose", params, resultSchema).then(() => true, () => false)
        );
        const others = group.members.filter(member => member.name !== leader).map(member => member.name);
        await holds(others[0] ?? "", current.version + 1);
        group.network.cut("test", leader);
        group.network.heal();
        expect(await Promise.all(lost)).to.deep.equal([false, false, false, false]);
        await group.stop(leader);
        await group.leader(leader);
        const resend = () =>
            Promise.all(
                proposals.map(({ operationId, baseVersion, configuration }) =>
                    group.propose(operationId, baseVersion, configuration)
                ),
            );
        const answers = await resend();
        expect(answers.filter(answer => answer.ok)).to.have.length(1);
        expect(answers.filter(answer => answer.error === "conflict")).to.have.length(3);
        const after = await group.current();
        expect(after.version).to.equal(current.version + 1);
        const winner = proposals[answers.findIndex(answer => answer.ok)];
        expect(after.costWeight).to.equal(winner?.configuration.costWeight);
        await group.startControl(group.members.findIndex(member => member.name === leader));
        await holds(leader, after.version);
        expect(await resend()).to.deep.equal(answers);
    });
});
