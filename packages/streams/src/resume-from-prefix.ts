import type { InterruptedStream, ResumeDecision } from "./resume-policy.ts";
import { ResumePolicy } from "./resume-policy.ts";

/** Number of attempts after which a request is assumed to cause the failures of its endpoints itself. */
const defaultMaxAttempts = 8;

/**
 * Continues after the received prefix. The prefix cache of the target covers a part of the prompt; an imported KV
 * cache covers the prompt and a part of the prefix, and is used if it covers more.
 */
export class ResumeFromPrefix extends ResumePolicy {
    constructor(private readonly maxAttempts = defaultMaxAttempts) {
        super();
    }

    override decide(stream: InterruptedStream, now: number): ResumeDecision {
        if (now >= stream.deadline) {
            return { kind: "give-up", reason: "deadline" };
        }
        if (stream.attempts >= this.maxAttempts) {
            return { kind: "give-up", reason: "attempts" };
        }
        const neededTokens = stream.promptTokens + stream.receivedTokens;
        const cachedTokens = Math.min(stream.cachedPromptTokens, stream.promptTokens);
        const importedTokens = Math.min(stream.importedTokens, neededTokens);
        return {
            kind: "resume",
            offset: stream.receivedTokens,
            useImportedKv: importedTokens > cachedTokens,
            recomputedTokens: neededTokens - Math.max(cachedTokens, importedTokens),
        };
    }
}
