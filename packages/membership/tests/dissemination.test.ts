import { MembershipNode, type Message, type Update } from "@lentilramp/membership";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

const address = { host: "127.0.0.1", port: 9_001 };

/** Returns a node with the given members. */
function createNode(ids = ["a", "b"]): MembershipNode {
    const node = new MembershipNode(
        { id: "n", host: "127.0.0.1", port: 9_000, incarnation: 1 },
        new SeededRandom(1),
        0,
        { retransmitFactor: 20 },
    );
    const updates: Update[] = ids.map((id, i) => {
        return { id, status: "alive", incarnation: 2, address: { ...address, port: address.port + i } };
    });
    node.step({ kind: "message", message: message("page", updates), from: address }, 0);
    return node;
}

function message(kind: "page" | "ping", updates: Update[]): Message {
    const common = { from: "a", incarnation: 2, seq: 1, updates };
    return kind === "page" ? { ...common, kind, target: "" } : { ...common, kind };
}

function sent(node: MembershipNode, input: Parameters<MembershipNode["step"]>[0], now: number): Message[] {
    return node.step(input, now).flatMap(effect => effect.kind === "send" ? [effect.message] : []);
}

describe("dissemination", () => {
    // Guards against a node that missed a refutation and declares a live member dead (seen at 200 nodes, seed 3).
    it("sends the current state to a sender that disseminates an outdated suspicion", () => {
        const outdated: Update = { id: "b", status: "suspect", incarnation: 1 };
        const [ack] = sent(createNode(), { kind: "message", message: message("ping", [outdated]), from: address }, 10);
        expect(ack?.updates).to.deep.include({
            id: "b",
            status: "alive",
            incarnation: 2,
            address: { ...address, port: 9_002 },
        });
    });

    // Guards against updates that spread more slowly than suspicions expire, while local health lengthens the interval.
    it("sends updates at the usual interval while local health lengthens the probe interval", () => {
        const node = createNode();
        /** Returns the number of times at which an update about c was sent. */
        const run = (until: number) => {
            let count = 0;
            for (let at = node.nextDueAt(); at <= until; at = node.nextDueAt()) {
                const messages = sent(node, { kind: "tick" }, at);
                count += Number(messages.some(({ updates }) => updates.some(({ id }) => id === "c")));
            }
            return count;
        };
        run(1_900);
        for (let at = 2_000; at < 30_000; at += 1_000) {
            // The members stay alive by refuting each suspicion, but answer no probe.
            const refutations: Update[] = ["a", "b"].map(id => ({ id, status: "alive", incarnation: at, address }));
            sent(node, { kind: "message", message: message("page", refutations), from: address }, at);
            run(at + 999);
        }
        expect(node.dump().localHealth).to.be.at.least(8);
        const news: Update = { id: "c", status: "alive", incarnation: 1, address };
        sent(node, { kind: "message", message: message("ping", [news]), from: address }, 30_000);
        expect(run(35_000)).to.be.at.least(4);
    });

    // Guards against a late refutation, when a suspected member receives the suspicion only through gossip.
    it("pings a suspected member at once", () => {
        const node = createNode(["a", "b", "c", "d", "e", "f"]);
        let suspected: string | undefined;
        let probed: number[] = [];
        for (let at = node.nextDueAt(); suspected === undefined && at < 10_000; at = node.nextDueAt()) {
            const effects = node.step({ kind: "tick" }, at);
            suspected = node.liveMembers().find(({ status }) => status === "suspect")?.id;
            probed = effects.flatMap(effect =>
                effect.kind === "send" && effect.message.kind === "ping" ? [effect.to.port] : []
            );
        }
        expect(probed).to.include(node.member(suspected!)!.port);
    });

    // Guards against a live member declared dead by a node that its refutation has not reached (seen at 1,600 nodes),
    // and against queued updates that are sent to members that may be dead.
    it("pings a suspected member once more before it is declared dead", () => {
        const node = createNode();
        const old: Update = { id: "b", status: "suspect", incarnation: 2 };
        node.step({ kind: "message", message: message("ping", [old]), from: address }, 0);
        const pings = new Set<number>();
        for (let at = node.nextDueAt(); node.member("b")?.status === "suspect"; at = node.nextDueAt()) {
            for (const effect of node.step({ kind: "tick" }, at)) {
                if (effect.kind === "send" && effect.to.port === 9_002 && effect.message.kind === "ping") {
                    pings.add(at);
                    expect(effect.message.updates.map(({ id }) => id)).to.deep.equal(["b"]);
                }
            }
        }
        expect(pings).to.include(2_250);
    });
});
