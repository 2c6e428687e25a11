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

    const engine = { id: "e", failureDomain: "a", slots: 4 };
    const choice = (firstByteMs: number, running = 4) => ({
        endpoint: engine,
        prediction: { firstByteMs, idleFirstByteMs: 50, unreadTokens: 0 },
        onTime: true,
        running,
    });
    const send: DispatchDecision<Candidate> = { kind: "send", choice: choice(60) };

    /** Lets an urgent request wait whose first byte would come after `firstByteMs`, and a less urgent one be sent. */
    function serveBeside(
        firstByteMs: number,
        { isShared = true, running = 4 } = {},
    ): { outcomes: string[]; yielded: string[]; } {
        const clock = new ManualClock(0);
        const yielded: string[] = [];
        const queue = new DispatchQueue<Candidate>(clock, {
            isShared: () => isShared,
            onYield: ({ id }) => {
                yielded.push(id);
                return 77;
            },
        });
        const outcomes: string[] = [];
        const urgent: DispatchDecision<Candidate> = { kind: "wait", waitUntil: 900, best: choice(firstByteMs) };
        queue.submit(request("urgent"), () => urgent, outcome => outcomes.push(`urgent ${outcome.kind}`));
        let first = true;
        queue.submit({ ...request("other"), rank: 2 }, () => {
            const decision = first ? wait : { ...send, choice: choice(60, running) };
            first = false;
            return decision;
        }, outcome => outcomes.push(outcome.kind === "refuse" ? `${outcome.reason} ${outcome.retryAfterMs}` : "send"));
        clock.advanceTo(20);
        return { outcomes, yielded };
    }

    // Guards against a place that goes to a less urgent request while an urgent one misses its target.
    it("refuses a less urgent request that could be sent while an urgent one would be late", () => {
        expect(serveBeside(1_200)).to.deep.equal({ outcomes: ["yield 77"], yielded: ["other"] });
    });

    // Guards against refusals while there is capacity for both.
    it("sends it while the urgent one can be on time, or half of the endpoint is free", () => {
        expect(serveBeside(400).outcomes).to.deep.equal(["send"]);
        expect(serveBeside(1_200, { running: 1 }).outcomes).to.deep.equal(["send"]);
    });

    // Guards against a change for services whose endpoints report no pace.
    it("sends it in any case when shares are off", () => {
        expect(serveBeside(1_200, { isShared: false }).outcomes).to.deep.equal(["send"]);
    });
});
