import type { AnswerWriter } from "./answer-writer.ts";
import type { AttemptFailures } from "./attempt-failures.ts";
import type { BodyEnd } from "./body-reader.ts";
import type { CallEnd } from "./call-end.ts";
import type { CallRecorder } from "./call-recorder.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";
import type { PromptOutcome } from "./prompt-outcome.ts";
import type { RelayContext } from "./relay-context.ts";
import type { DeadlineWatch } from "./request-deadline.ts";
import type { RetryAllowance } from "./retry-allowance.ts";

/** Decides what the end of an answer's body shows of its endpoint, and whether the request is finished with it. */
export class AnswerEnd {
    constructor(
        private readonly ctx: RelayContext,
        private readonly parts: {
            readonly recorder: CallRecorder;
            readonly prompt: PromptOutcome;
            readonly retries: RetryAllowance;
            readonly failures: AttemptFailures;
            readonly deadline: DeadlineWatch;
            readonly writer: AnswerWriter;
            readonly end: CallEnd;
        },
    ) {}

    /** Handles the end of an answer's body; returns whether the request is finished. */
    handle(inFlight: InFlightAttempt, end: BodyEnd, status: number): boolean {
        const { recorder, prompt, retries, failures, deadline, writer } = this.parts;
        const serverError = status >= 500;
        prompt.onAnswerEnd(inFlight.endpoint, end, status);
        const isTimeUp = end === "cut" && deadline.hasMoreTimeThan(inFlight.stopsAt);
        if (end !== "left" && !isTimeUp) {
            recorder.recordHealth(
                inFlight.endpoint,
                end !== "complete" ? "broken" : serverError ? "error" : "answered",
            );
        }
        if (end === "complete") {
            this.ctx.metrics.count("sends", 1, { outcome: "answered" });
            if (!serverError) {
                recorder.pace.recordWholeAnswer(inFlight.endpoint, this.ctx.clock.now() - inFlight.sentAt);
            }
            return true;
        }
        if (end === "left") {
            return true;
        }
        failures.recordBrokenBody(inFlight, end, isTimeUp);
        if (writer.isContinuable && retries.isRetryable) {
            return false;
        }
        this.parts.end.giveUp(failures.lastReason, undefined);
        return true;
    }
}
