import type { ProbeAnswer, SilenceAction } from "@lentilramp/streams";
import { SilenceDetector } from "@lentilramp/streams";
import { expect } from "chai";
import fc from "fast-check";

const running = (produced: number): ProbeAnswer => ({ kind: "status", produced, state: "running" });
const kinds = (actions: SilenceAction[]) => actions.map(action => action.kind);
const probeOf = (actions: SilenceAction[]) => actions.find(action => action.kind === "probe")?.probe ?? -1;

describe("SilenceDetector", () => {
    // Guards against a silent connection that is never found, or later than 3 s after its last byte.
    it("asks after 2 s and declares a connection dead that is behind", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        detector.onBytes("s1", 10, 500);
        expect(detector.poll(2_499)).to.deep.equal([]);
        expect(detector.nextDueAt()).to.equal(2_500);
        const probe = probeOf(detector.poll(2_500));
        expect(detector.onProbeAnswer("s1", probe, running(60), 2_510)).to.deep.equal([]);
        expect(detector.nextDueAt()).to.equal(2_810);
        expect(detector.poll(2_810)).to.deep.equal([
            { kind: "dead", connection: "s1", endpoint: "e1", reason: "behind" },
            { kind: "retire-idle", endpoint: "e1" },
        ]);
    });

    // Guards against cutting off a slow engine, and against never asking again after the first verdict.
    it("keeps the connection of a slow engine and asks again", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        const probe = probeOf(detector.poll(2_000));
        expect(detector.onProbeAnswer("s1", probe, running(0), 2_010)).to.deep.equal([]);
        expect(detector.stateOf("s1")).to.equal("slow");
        expect(detector.poll(4_009)).to.deep.equal([]);
        expect(kinds(detector.poll(4_010))).to.deep.equal(["probe"]);
    });

    // Guards against a false verdict when the answer of the probe overtakes tokens on their way.
    it("takes back the suspicion when bytes arrive within the confirmation time", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        const probe = probeOf(detector.poll(2_000));
        detector.onProbeAnswer("s1", probe, running(1), 2_010);
        detector.onBytes("s1", 1, 2_020);
        expect(detector.stateOf("s1")).to.equal("active");
        expect(detector.poll(3_000)).to.deep.equal([]);
    });

    // Guards against an endpoint that answers nothing, not even on new connections, and against one that restarted.
    it("declares a connection dead when the probe has no answer or the request is unknown", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        detector.watch("s2", "e2", 0);
        const [first] = detector.poll(2_000).filter(action => action.kind === "probe");
        const lost = detector.onProbeAnswer("s1", first!.probe, { kind: "unknown-request" }, 2_005);
        expect(lost[0]).to.include({ kind: "dead", connection: "s1", reason: "lost" });
        expect(detector.poll(3_000)[0]).to.include({ kind: "dead", connection: "s2", reason: "probe-timeout" });
    });

    // Guards against siblings that are found one after the other, each after its own silence of 2 s.
    it("probes the other connections to the endpoint at once and leaves other endpoints alone", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        detector.watch("s2", "e1", 1_900);
        detector.watch("s3", "e2", 1_900);
        const probe = probeOf(detector.poll(2_000));
        detector.onProbeAnswer("s1", probe, running(9), 2_010);
        const actions = detector.poll(2_310);
        expect(kinds(actions)).to.deep.equal(["dead", "retire-idle", "probe"]);
        expect(actions[2]).to.include({ connection: "s2" });
        expect(detector.stateOf("s3")).to.equal("active");
    });

    // Guards against an old answer that decides about a connection which has delivered bytes since.
    it("ignores the answer to an earlier probe", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        const old = probeOf(detector.poll(2_000));
        detector.onBytes("s1", 1, 2_001);
        expect(kinds(detector.poll(4_001))).to.deep.equal(["probe"]);
        expect(detector.onProbeAnswer("s1", old, { kind: "unknown-request" }, 4_002)).to.deep.equal([]);
        expect(detector.stateOf("s1")).to.equal("probing");
    });

    // Guards against a request answered in one piece that is cut while it is being generated.
    it("does not compare counts for an answer in one piece until it is done", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0, false);
        detector.onProbeAnswer("s1", probeOf(detector.poll(2_000)), running(40), 2_010);
        expect(detector.stateOf("s1")).to.equal("slow");
        const probe = probeOf(detector.poll(4_010));
        detector.onProbeAnswer("s1", probe, { kind: "status", produced: 64, state: "done" }, 4_020);
        expect(kinds(detector.poll(4_320))).to.deep.equal(["dead", "retire-idle"]);
    });

    // Guards against a schedule of bytes for which a silent connection outlives the bound, or a live one is cut.
    it("finds each silent connection within 3 s of its last byte and cuts no other", () => {
        const gaps = fc.array(fc.integer({ min: 1, max: 5_000 }), { minLength: 1, maxLength: 10 });
        fc.assert(
            fc.property(gaps, fc.boolean(), fc.integer({ min: 0, max: 100 }), (times, goesSilent, delayMs) => {
                const detector = new SilenceDetector();
                detector.watch("s", "e", 0);
                const bytesAt = [...times.keys()].map(index => times.slice(0, index + 1).reduce((a, b) => a + b));
                const lastAt = bytesAt.at(-1)!;
                let received = 0;
                let deadAt: number | undefined;
                const answers: { at: number; probe: number; }[] = [];
                const end = lastAt + 6_000;
                for (let now = 0; now <= end && deadAt === undefined; now++) {
                    if (bytesAt.includes(now)) {
                        detector.onBytes("s", ++received, now);
                    }
                    const produced = received + (goesSilent && now > lastAt ? 1 : 0);
                    const actions = detector.poll(now);
                    for (const answer of answers.filter(other => other.at === now)) {
                        actions.push(...detector.onProbeAnswer("s", answer.probe, running(produced), now));
                    }
                    for (const action of actions) {
                        if (action.kind === "probe") {
                            answers.push({ at: now + delayMs + 1, probe: action.probe });
                        }
                        deadAt = action.kind === "dead" ? now : deadAt;
                    }
                }
                if (goesSilent) {
                    expect(deadAt).to.be.at.most(lastAt + 3_000);
                }
                else {
                    expect(deadAt).to.equal(undefined);
                }
            }),
            { seed: 22, numRuns: 60 },
        );
    });
});
