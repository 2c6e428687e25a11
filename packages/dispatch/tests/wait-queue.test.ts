import { type DispatchRequest, WaitQueue } from "@lentilramp/dispatch";
import { expect } from "chai";

function waiting(id: string, workspace: string, rank: number, targetAt: number): { req: DispatchRequest; } {
    return {
        req: { id, service: "s", workspace, rank, arrivedAt: 0, targetAt, deadline: 9_000, work: undefined },
    };
}

const ids = (queue: WaitQueue<{ req: DispatchRequest; }>): string => queue.inOrder().map(({ req }) => req.id).join(" ");

describe("WaitQueue with fair shares", () => {
    function filled(isFair: boolean): WaitQueue<{ req: DispatchRequest; }> {
        const queue = new WaitQueue<{ req: DispatchRequest; }>(() => isFair);
        [
            waiting("a1", "a", 1, 100),
            waiting("a2", "a", 1, 110),
            waiting("a3", "a", 1, 120),
            waiting("b1", "b", 1, 300),
            waiting("u1", "c", 0, 900),
            waiting("b2", "b", 1, 310),
        ].forEach(item => queue.push(item));
        return queue;
    }

    // Guards against a workspace whose requests all wait behind those of one that sends many.
    it("orders by rank, then by turns of the workspaces, then by target", () => {
        expect(ids(filled(true))).to.equal("u1 a1 b1 a2 b2 a3");
    });

    // Guards against a change for services whose endpoints report no pace.
    it("orders by rank and target alone when shares are off", () => {
        const queue = filled(false);
        expect(ids(queue)).to.equal("u1 a1 a2 a3 b1 b2");
        expect(queue.countAhead(waiting("x", "x", 1, 120).req)).to.equal(4);
        for (const item of queue.inOrder().slice(0, 4)) {
            queue.remove(item, true);
        }
        expect(ids(queue)).to.equal("b1 b2");
        expect(queue.isOverdue(waiting("x", "x", 9, 0).req)).to.equal(false);
    });

    it("counts the requests before a new one as they would be served", () => {
        const queue = filled(true);
        expect(queue.countAhead(waiting("c1", "c", 1, 50).req)).to.equal(1);
        expect(queue.countAhead(waiting("b0", "b", 1, 50).req)).to.equal(1);
        expect(queue.countAhead(waiting("a4", "a", 1, 130).req)).to.equal(6);
    });

    // Guards against a workspace that is put last for requests that were never sent, and one that saves up turns.
    it("counts a turn for requests that are sent only, and gives none for the time before a workspace waits", () => {
        const queue = new WaitQueue<{ req: DispatchRequest; }>(() => true);
        const keep = waiting("keep", "b", 1, 9_000);
        queue.push(keep);
        for (let i = 0; i < 30; i++) {
            const refused = waiting(`r${i}`, "a", 1, i);
            queue.push(refused);
            queue.remove(refused);
        }
        queue.push(waiting("a1", "a", 1, 10));
        expect(ids(queue)).to.equal("a1 keep");
        for (let i = 0; i < 10; i++) {
            const sent = waiting(`s${i}`, "a", 1, 10);
            queue.push(sent);
            queue.remove(sent, true);
        }
        expect(ids(queue)).to.equal("keep a1");
        ["c1", "c2"].forEach(id => queue.push(waiting(id, "c", 1, 50)));
        expect(ids(queue)).to.match(/^(c1 keep|keep c1) .*$/);
    });

    // Guards against a rank that waits until it is late because the queue always holds a more urgent request.
    it("sends one request in ten of a less urgent rank while more urgent ones always wait", () => {
        const queue = new WaitQueue<{ req: DispatchRequest; }>(() => true);
        const sent = { 0: 0, 2: 0, 5: 0 } as Record<number, number>;
        for (const rank of [2, 5]) {
            for (let i = 0; i < 30; i++) {
                queue.push(waiting(`${rank}-${i}`, "w", rank, i));
            }
        }
        for (let i = 0; i < 200; i++) {
            queue.push(waiting(`0-${i}`, "w", 0, i));
            queue.push(waiting(`0-${i}b`, "w", 0, i));
            const [next] = queue.inOrder();
            if (next !== undefined) {
                queue.remove(next, true);
                sent[next.req.rank] = (sent[next.req.rank] ?? 0) + 1;
            }
        }
        expect(sent).to.deep.equal({ 0: 162, 2: 19, 5: 19 });
    });
});
