import { RestartFromZero, ResumeFromPrefix } from "@lentilramp/streams";
import { expect } from "chai";

const lost = {
    promptTokens: 1_000,
    receivedTokens: 200,
    cachedPromptTokens: 0,
    importedTokens: 0,
    attempts: 1,
    deadline: 100,
};

describe("ResumePolicy", () => {
    // Guards against recomputing what a prefix cache or an imported KV cache covers.
    it("resumes after the received prefix and recomputes only what nothing covers", () => {
        const policy = new ResumeFromPrefix();
        const decide = (change: object) => policy.decide({ ...lost, ...change }, 0);
        const resume = { kind: "resume", offset: 200, useImportedKv: false };
        expect(decide({})).to.deep.equal({ ...resume, recomputedTokens: 1_200 });
        expect(decide({ cachedPromptTokens: 640 })).to.deep.equal({ ...resume, recomputedTokens: 560 });
        const imported = decide({ cachedPromptTokens: 640, importedTokens: 1_150 });
        expect(imported).to.deep.equal({ ...resume, useImportedKv: true, recomputedTokens: 50 });
        // A KV cache taken after the last token that arrived covers more than is needed.
        expect(decide({ importedTokens: 1_300 })).to.deep.include({ recomputedTokens: 0 });
    });

    // Guards against holding a request that can no longer be answered, and against endless attempts.
    it("gives up at the deadline and after the last attempt", () => {
        const policy = new ResumeFromPrefix(3);
        expect(policy.decide(lost, 100)).to.deep.equal({ kind: "give-up", reason: "deadline" });
        expect(policy.decide({ ...lost, attempts: 3 }, 0)).to.deep.equal({ kind: "give-up", reason: "attempts" });
    });

    // Guards against a baseline that is better than a restart is.
    it("counts prompt and received tokens for a restart", () => {
        const decision = new RestartFromZero().decide({ ...lost, importedTokens: 1_200 }, 0);
        expect(decision).to.deep.equal({ kind: "resume", offset: 0, useImportedKv: false, recomputedTokens: 1_200 });
    });
});
