import { expect } from "chai";
import { TestGroup } from "./test-group.ts";

const all = [0, 1, 2];

describe("control group over sockets and files", () => {
    let group: TestGroup;

    beforeEach(async () => {
        group = new TestGroup();
        await Promise.all(all.map(i => group.startControl(i)));
    });

    afterEach(() => group.close());

    async function everyEntryHolds(version: number): Promise<void> {
        for (const i of all) {
            await group.until(async () => (await group.status(`entry-${i + 1}`)).version === version);
        }
    }

    // Guards against a change that is lost, applied twice, or answered differently when an operator resends it.
    it("lets one of two operators with equal base versions win and gives a resend the first answer", async () => {
        await Promise.all(all.map(i => group.startEntry(i)));
        const first = await group.propose("first", 0, group.configuration(0.1));
        expect(first.ok).to.equal(true);
        await group.until(async () => (await group.current()).claimGenerations.length === 1);
        const base = (await group.current()).version;
        const racing = await Promise.all([
            group.propose("race-a", base, { ...(await group.current()), costWeight: 0.2 }),
            group.propose("race-b", base, { ...(await group.current()), costWeight: 0.3 }),
        ]);
        expect(racing.filter(result => result.ok)).to.have.length(1);
        expect(racing.find(result => !result.ok)?.error).to.equal("conflict");
        const again = await Promise.all([
            group.propose("race-a", base, { ...(await group.current()), costWeight: 0.2 }),
            group.propose("race-b", base, { ...(await group.current()), costWeight: 0.3 }),
        ]);
        expect(again).to.deep.equal(racing);
        await everyEntryHolds(base + 1);
    });

    // Guards against a configuration that reverts when all processes restart.
    it("keeps the accepted configuration and its identities over a restart of all processes", async () => {
        await group.propose("first", 0, group.configuration(0.1));
        await group.until(async () => (await group.current()).claimGenerations.length === 1);
        const before = await group.current();
        const identity = (await group.status("control-1")).identity;
        await Promise.all(all.map(i => group.stop(`control-${i + 1}`)));
        await Promise.all(all.map(i => group.startControl(i)));
        expect(await group.current()).to.deep.equal(before);
        expect((await group.status("control-1")).identity).to.equal(identity);
    });

    // Guards against a process that lost its disk voting under its old identity, and against the loss of data when a
    // second instance is lost just after the repair.
    it("admits a process with a lost disk under a new identity and then survives a second loss", async () => {
        await group.propose("first", 0, group.configuration(0.1));
        await group.until(async () => (await group.current()).claimGenerations.length === 1);
        const { version } = await group.current();
        const oldIdentity = (await group.status("control-2")).identity;
        await group.stop("control-2");
        group.loseDisk(1);
        await group.startControl(1);
        await group.until(async () => {
            const members = (await group.status("control-1")).members as {
                name: string;
                identity: string;
                voter: boolean;
            }[];
            return members.some(member =>
                member.name === "control-2" && member.identity !== oldIdentity && member.voter
            );
        });
        expect((await group.status("control-2")).identity).to.not.equal(oldIdentity);
        await group.stop("control-3");
        group.loseDisk(2);
        const current = await group.current();
        expect(current.version).to.be.at.least(version);
        const result = await group.propose("after", current.version, { ...current, costWeight: 0.9 });
        expect(result.ok || result.error === "conflict").to.equal(true);
        await group.startControl(2);
        await group.until(async () => (await group.status("control-3")).version === (await group.current()).version);
    });

    // Guards against claim generations that change the replicas of keys that are in use.
    it("adds a later claim generation for a replaced replica and leaves the first one as it was", async () => {
        await group.propose("first", 0, group.configuration(0.1));
        await group.until(async () => (await group.current()).claimGenerations.length === 1);
        const [first] = (await group.current()).claimGenerations;
        await group.stop("control-2");
        group.loseDisk(1);
        const from = Date.now();
        await group.startControl(1);
        await group.until(async () => (await group.current()).claimGenerations.length === 2);
        const generations = (await group.current()).claimGenerations;
        expect(generations[0]).to.deep.equal(first);
        expect(generations[1]?.fromIssueTime).to.be.greaterThan(from + 310_000);
    });
});
