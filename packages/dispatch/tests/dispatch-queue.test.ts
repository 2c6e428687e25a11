import { type Candidate, type DispatchDecision, DispatchQueue, type DispatchRequest } from "@lentilramp/dispatch";
import { ManualClock } from "@lentilramp/runtime";
import { expect } from "chai";

function request(id: string): DispatchRequest {
    return {
        id,
        service: "s",
        workspace: "w",
        rank: 0,
        arrivedAt: 0,
        targetAt: 1_000,
        deadline: 2_000,
        work: undefined,
    };
}

describe("DispatchQueue", () => {
    const wait: DispatchDecision<Candidate> = { kind: "wait", waitUntil: 900 };
    const refuse: DispatchDecision<Candidate> = { kind: "refuse", reason: "overload", retryAfterMs: 60 };

    // Guards against the end of the process, and against requests that wait for ever: the decisions run in a timer.
    it("refuses only the request whose decision raises an error, and goes on to decide on the others", () => {
        const clock = new ManualClock(0);
        const queue = new DispatchQueue<Candidate>(clock);
        const outcomes: string[] = [];
        const submit = (id: string, later: () => DispatchDecision<Candidate>): void => {
            let first = true;
            queue.submit(request(id), () => {
                const decision = first ? wait : later();
                first = false;
                return decision;
            }, outcome => {
                outcomes.push(`${id} ${outcome.kind === "refuse" ? outcome.reason : outcome.kind}`);
            });
        };
        submit("a", () => clock.now() < 50 ? wait : refuse);
        submit("b", () => {
            throw new RangeError("odd");
        });
        submit("c", () => refuse);
        clock.advanceTo(20);
        expect(outcomes).to.deep.equal(["b internal error: RangeError: odd", "c overload"]);
        expect(queue.size).to.equal(1);
        clock.advanceTo(100);
        expect(outcomes.at(-1)).to.equal("a overload");
    });
});
