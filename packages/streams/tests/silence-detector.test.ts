import type { ProbeAnswer, SilenceAction } from "@lentilramp/streams";
import { SilenceDetector } from "@lentilramp/streams";
import { expect } from "chai";
import fc from "fast-check";

const running = (produced: number): ProbeAnswer => ({ kind: "status", produced, state: "running" });
const kinds = (actions: SilenceAction[]) => actions.map(action => action.kind);
const probeOf = (actions: SilenceAction[]) => actions.find(action => action.kind === "probe")?.probe ?? -1;

describe("SilenceDetector", () => {
    it("does not leave a silent connection undetected for more than 3 s after its last byte", () => {
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

    it("neither cuts the connection of a slow engine nor stops probing it after the first answer", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        const probe = probeOf(detector.poll(2_000));
        expect(detector.onProbeAnswer("s1", probe, running(0), 2_010)).to.deep.equal([]);
        expect(detector.stateOf("s1")).to.equal("slow");
        expect(detector.poll(4_009)).to.deep.equal([]);
        expect(kinds(detector.poll(4_010))).to.deep.equal(["probe"]);
    });

    it("does not declare a connection dead when the answer to the probe overtakes tokens", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        const probe = probeOf(detector.poll(2_000));
        detector.onProbeAnswer("s1", probe, running(1), 2_010);
        detector.onBytes("s1", 1, 2_020);
        expect(detector.stateOf("s1")).to.equal("active");
        expect(detector.poll(3_000)).to.deep.equal([]);
    });

    it("does not keep a connection whose endpoint answers no probe or restarted without the request", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        detector.watch("s2", "e2", 0);
        const [first] = detector.poll(2_000).filter(action => action.kind === "probe");
        const actions = detector.onProbeAnswer("s1", first!.probe, { kind: "unknown-request" }, 2_005);
        expect(actions[0]).to.include({ kind: "dead", connection: "s1", reason: "lost" });
        expect(detector.poll(3_000)[0]).to.include({ kind: "dead", connection: "s2", reason: "probe-timeout" });
    });

    // The connections to other endpoints are not probed.
    it("does not wait 2 s of silence on each other connection to the endpoint of a dead one", () => {
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

    it("does not use the answer to an earlier probe after the connection has delivered bytes", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0);
        const earlierProbe = probeOf(detector.poll(2_000));
        detector.onBytes("s1", 1, 2_001);
        expect(kinds(detector.poll(4_001))).to.deep.equal(["probe"]);
        expect(detector.onProbeAnswer("s1", earlierProbe, { kind: "unknown-request" }, 4_002)).to.deep.equal([]);
        expect(detector.stateOf("s1")).to.equal("probing");
    });

    it("does not cut a request whose answer is sent in one piece while the answer is being generated", () => {
        const detector = new SilenceDetector();
        detector.watch("s1", "e1", 0, false);
        detector.onProbeAnswer("s1", probeOf(detector.poll(2_000)), running(40), 2_010);
        expect(detector.stateOf("s1")).to.equal("slow");
        const probe = probeOf(detector.poll(4_010));
        detector.onProbeAnswer("s1", probe, { kind: "status", produced: 64, state: "done" }, 4_020);
        expect(kinds(detector.poll(4_320))).to.deep.equal(["dead", "retire-idle"]);
    });

    it("neither misses the bound of 3 s for a silent connection nor cuts a live one, for any byte schedule", () => {
        const gaps = fc.array(fc.integer({ min: 1, max: 5_000 }), { minLength: 1, maxLength: 10 });
        fc.assert(
            fc.property(gaps, fc.boolean(), fc.integer({ min: 0, max: 100 }), (gapsMs, goesSilent, delayMs) => {
                const detector = new SilenceDetector();
                detector.watch("s", "e", 0);
                const bytesAt = [...gapsMs.keys()].map(index => gapsMs.slice(0, index + 1).reduce((a, b) => a + b));
                const lastAt = bytesAt.at(-1)!;
                let received = 0;
                let deadAt: number | undefined;
                const answers: { answeredAt: number; probe: number; }[] = [];
                const endAt = lastAt + 6_000;
                for (let now = 0; now <= endAt && deadAt === undefined; now++) {
                    if (bytesAt.includes(now)) {
                        detector.onBytes("s", ++received, now);
                    }
                    const produced = received + (goesSilent && now > lastAt ? 1 : 0);
                    const actions = detector.poll(now);
                    for (const answer of answers.filter(other => other.answeredAt === now)) {
                        actions.push(...detector.onProbeAnswer("s", answer.probe, running(produced), now));
                    }
                    for (const action of actions) {
                        if (action.kind === "probe") {
                            answers.push({ answeredAt: now + delayMs + 1, probe: action.probe });
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
