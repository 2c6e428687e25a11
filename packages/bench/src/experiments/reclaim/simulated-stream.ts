import { StreamAssembler } from "@lentilramp/streams";
import type { SimulatedAttempt, SimulatedEngine } from "./simulated-engine.ts";
import type { Arrival } from "./workload.ts";

/** A stream that was accepted, as its entry sees it. */
export class SimulatedStream {
    readonly assembler = new StreamAssembler();
    readonly deadline: number;
    engine: SimulatedEngine | undefined;
    attempt: SimulatedAttempt | undefined;
    exportFailures = 0;
    /** Copy of the KV cache on another engine, made before a notice. */
    copy: { engine: SimulatedEngine; tokens: number; } | undefined;
    /** Most tokens of prompt and answer that any engine had computed for this stream. */
    computedTokens = 0;
    lastTokenAt: number;
    longestGapMs = 0;
    completedAt: number | undefined;
    /** True when the stream was on an engine that got notice. */
    wasReclaimed = false;

    constructor(readonly arrival: Arrival, deadlineMs: number) {
        this.deadline = arrival.at + deadlineMs;
        this.lastTokenAt = arrival.at;
    }

    /** Tokens of prompt and answer that the current engine has computed. */
    get heldTokens(): number {
        if (this.attempt === undefined) {
            return 0;
        }
        const { promptTokens, sequence } = this.attempt;
        return Math.max(0, promptTokens + sequence.nextOffset - sequence.prefillLeft);
    }

    /** The answer consists of all tokens, each once and in order. */
    get isWhole(): boolean {
        const expected = Array.from(Array(this.arrival.actualTokens).keys(), tokenText).join("");
        return this.assembler.complete && this.assembler.received().text === expected;
    }

    /** Notes what the current attempt has computed before it is given up. */
    noteComputed(): void {
        this.computedTokens = Math.max(this.computedTokens, this.heldTokens);
    }

    noteToken(now: number): void {
        if (this.assembler.nextOffset > 0) {
            this.longestGapMs = Math.max(this.longestGapMs, now - this.lastTokenAt);
        }
        this.lastTokenAt = now;
    }
}

export function tokenText(offset: number): string {
    return ` ${offset}`;
}
