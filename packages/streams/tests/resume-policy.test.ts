import { RestartFromZero, ResumeFromPrefix } from "@lentilramp/streams";
import { expect } from "chai";

const interrupted = {
    promptTokens: 1_000,
    receivedTokens: 200,
    cachedPromptTokens: 0,
    importedTokens: 0,
    attempts: 1,
    deadline: 100,
};

describe("ResumePolicy", () => {
    it("does not recompute tokens that a prefix cache or an imported KV cache covers", () => {
        const policy = new ResumeFromPrefix();
        const decide = (overrides: object) => policy.decide({ ...interrupted, ...overrides }, 0);
        const resume = { kind: "resume", offset: 200, useImportedKv: false };
        expect(decide({})).to.deep.equal({ ...resume, recomputedTokens: 1_200 });
        expect(decide({ cachedPromptTokens: 640 })).to.deep.equal({ ...resume, recomputedTokens: 560 });
        const imported = decide({ cachedPromptTokens: 640, importedTokens: 1_150 });
        expect(imported).to.deep.equal({ ...resume, useImportedKv: true, recomputedTokens: 50 });
        // A KV cache exported after the last received token covers more tokens than needed.
        expect(decide({ importedTokens: 1_300 })).to.deep.include({ recomputedTokens: 0 });
    });

    it("neither keeps a request past its deadline nor retries it without limit", () => {
        const policy = new ResumeFromPrefix(3);
        expect(policy.decide(interrupted, 100)).to.deep.equal({ kind: "give-up", reason: "deadline" });
        expect(policy.decide({ ...interrupted, attempts: 3 }, 0)).to.deep.equal({
            kind: "give-up",
            reason: "attempts",
        });
    });

    it("does not make the restart baseline look better by leaving out prompt or received tokens", () => {
        const decision = new RestartFromZero().decide({ ...interrupted, importedTokens: 1_200 }, 0);
        expect(decision).to.deep.equal({ kind: "resume", offset: 0, useImportedKv: false, recomputedTokens: 1_200 });
    });
});
