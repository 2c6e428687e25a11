import type { InterruptedStream, ResumeDecision } from "./resume-policy.ts";
import { ResumePolicy } from "./resume-policy.ts";

/** Baseline of the bench: generates the whole answer again; the assembler drops the tokens received before. */
export class RestartFromZero extends ResumePolicy {
    override decide(stream: InterruptedStream, now: number): ResumeDecision {
        if (now >= stream.deadline) {
            return { kind: "give-up", reason: "deadline" };
        }
        const cachedTokens = Math.min(stream.cachedPromptTokens, stream.promptTokens);
        return {
            kind: "resume",
            offset: 0,
            useImportedKv: false,
            recomputedTokens: stream.promptTokens - cachedTokens + stream.receivedTokens,
        };
    }
}
