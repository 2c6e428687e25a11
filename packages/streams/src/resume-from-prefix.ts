import type { InterruptedStream, ResumeDecision } from "./resume-policy.ts";
import { ResumePolicy } from "./resume-policy.ts";

// A request that loses its endpoint more often than this is likely to cause the losses itself.
const defaultMaxAttempts = 8;

/**
 * Continues after the received prefix. The prefix cache of the target covers a part of the prompt; an imported KV
 * cache covers the prompt and a part of the prefix, and is used when it covers more.
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
        const needed = stream.promptTokens + stream.receivedTokens;
        const cached = Math.min(stream.cachedPromptTokens, stream.promptTokens);
        const imported = Math.min(stream.importedTokens, needed);
        return {
            kind: "resume",
            offset: stream.receivedTokens,
            useImportedKv: imported > cached,
            recomputedTokens: needed - Math.max(cached, imported),
        };
    }
}
