import { AgreementNode, foundingState, type Message } from "@lentilramp/agreement";
import { agreementMessagesSchema } from "@lentilramp/control";
import { expect } from "chai";

const sender = { name: "s", host: "10.0.0.1", port: 7_600, failureDomain: "a" };
const header = { from: "b", to: "a", term: 5 };
const stamp = { round: 0, sentAt: 1_733_375_000_000.25 };
const membership = { members: [{ id: "a", address: "x", voter: true }], retired: ["z"] };
const sound: Message[] = [
    { type: "pre-vote", ...header, asked: 6, lastIndex: 0, lastTerm: 0 },
    { type: "pre-vote-reply", ...header, asked: 6, granted: true },
    { type: "vote", ...header, lastIndex: 0, lastTerm: 0, handOver: false },
    { type: "vote-reply", ...header, granted: false },
    {
        type: "append",
        ...header,
        ...stamp,
        prevIndex: 0,
        prevTerm: 0,
        entries: [
            { index: 1, term: 5, content: { kind: "no-op" } },
            { index: 2, term: 5, content: { kind: "command", command: "{}" } },
            { index: 3, term: 5, content: { kind: "membership", membership } },
        ],
        commitIndex: 3,
    },
    { type: "snapshot", ...header, ...stamp, snapshot: { index: 3, term: 5, membership, state: "" } },
    { type: "append-reply", ...header, ...stamp, ok: true, index: 3 },
    { type: "hand-over", ...header },
];

function received(messages: readonly unknown[]): Message[] {
    return agreementMessagesSchema.parse(JSON.parse(JSON.stringify({ sender, messages }))).messages;
}

describe("agreementMessagesSchema", () => {
    it("accepts every kind of message unchanged", () => {
        expect(received(sound)).to.deep.equal(sound);
    });

    // Guards against a message that raises an exception in the middle of a step, or a term that no election can follow.
    it("leaves out odd messages and keeps the others, so that no step of a member raises an exception", () => {
        const numbers = [-1, 0.5, 2 ** 53, 1e300, "5", []];
        const append = { ...sound[4], prevIndex: 1, prevTerm: 1 };
        const odd = [
            ...sound.flatMap(message => numbers.map(term => ({ ...message, term }))),
            ...numbers.map(commitIndex => ({ ...append, commitIndex })),
            ...[undefined, [7], [{ index: 2, term: 5 }], [{ index: 1e300, term: 5, content: { kind: "no-op" } }]]
                .map(entries => ({ ...append, entries })),
            { type: "snapshot", ...header, ...stamp },
            { type: "later-kind", ...header },
            { type: "vote", ...header },
            "x",
            7,
            [],
        ];
        expect(received([...odd.slice(0, 40), sound[0], ...odd.slice(40)])).to.deep.equal([sound[0]]);
        const members = ["a", "b", "c"].map(id => ({ id, address: id }));
        const node = new AgreementNode({ id: "a", stored: foundingState(members), random: () => 0.5, now: 0 });
        node.start();
        for (const message of received([...odd, ...sound])) {
            node.step({ type: "message", message }, 10);
        }
        // The message "hand-over" asks the member to campaign in the next term.
        expect(node.status.term).to.equal(6);
    });

    it("rejects a sender to whom no answer can be sent", () => {
        for (const port of [0, -1, 65_536, 99_999, 1e9, 0.5]) {
            expect(agreementMessagesSchema.safeParse({ sender: { ...sender, port }, messages: [] }).success).to.equal(
                false,
            );
        }
    });
});
