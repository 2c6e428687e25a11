import { discardResponse } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import type { IncomingMessage } from "node:http";
import type { AttemptOutcome } from "./attempt.ts";
import type { CallRecorder } from "./call-recorder.ts";
import type { EndpointSelection } from "./endpoint-selection.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";
import type { PromptOutcome } from "./prompt-outcome.ts";
import type { ReachMonitor } from "./reach-monitor.ts";
import type { RetryAllowance } from "./retry-allowance.ts";

/** Records the attempts of one request that have brought no whole answer, and which endpoints may have run it. */
export class AttemptFailures {
    /** Reason of the last failure. */
    lastReason = "";
    /** Whether the endpoint that streamed last was left because it was silent, and has not broken the stream off. */
    hasLeftStream = false;
    /** Whether no connection could be opened to some endpoint. */
    hasUnreached = false;
    /** Endpoints that ran or may have run the request. */
    private readonly ran = new Set<string>();

    constructor(
        private readonly parts: {
            recorder: CallRecorder;
            selection: EndpointSelection;
            prompt: PromptOutcome;
            retries: RetryAllowance;
            clock: Clock;
            reach: ReachMonitor;
        },
    ) {}

    /** Number of endpoints that ran or may have run the request. */
    get runs(): number {
        return this.ran.size;
    }

    /** Returns the number of endpoints that may have run the request if `endpoint` is one of them. */
    runsWith(endpoint: string): number {
        return this.runs + (this.ran.has(endpoint) ? 0 : 1);
    }

    recordRun(endpoint: string): void {
        this.ran.add(endpoint);
    }

    /** Records an attempt that this ingress aborted; the resulting reset does not count against the endpoint. */
    recordAbandoned({ endpoint, sentAt }: InFlightAttempt, outcome: AttemptOutcome): void {
        const { recorder } = this.parts;
        if (outcome.kind === "answer") {
            discardResponse(outcome.res);
            recorder.applyAnswerHead(endpoint, outcome.head, sentAt);
        }
        if (outcome.kind !== "not-run") {
            this.recordRun(endpoint.id);
            recorder.recordUsage(sentAt);
        }
    }

    /** Records that the answer of an attempt is overdue. */
    recordSilence(inFlight: InFlightAttempt): void {
        const { recorder, selection, clock } = this.parts;
        const { endpoint, sentAt } = inFlight;
        this.lastReason = "no answer in time";
        if (clock.now() >= inFlight.silenceFaultFrom) {
            recorder.recordHealth(endpoint, "broken");
        }
        this.parts.reach.recordUnreached(endpoint.id);
        selection.exclude(endpoint.id, true);
        recorder.recordFailedAttempt(inFlight, "unknown", this.lastReason);
        this.recordRun(endpoint.id);
        recorder.recordUsage(sentAt);
    }

    /** Records an attempt that ended without an answer. */
    recordFailure(inFlight: InFlightAttempt, outcome: Exclude<AttemptOutcome, { kind: "answer"; }>): void {
        const { recorder, selection, prompt, retries } = this.parts;
        const { endpoint, sentAt } = inFlight;
        this.lastReason = outcome.reason;
        const blameless = outcome.kind === "not-run" && (outcome.received || outcome.unsendable === true);
        if (!blameless) {
            recorder.recordHealth(endpoint, "broken");
        }
        this.recordReach(endpoint.id, outcome);
        selection.exclude(endpoint.id);
        recorder.recordFailedAttempt(inFlight, outcome.kind, outcome.reason);
        if (outcome.kind === "unknown") {
            prompt.onLoss(endpoint);
            this.recordRun(endpoint.id);
            recorder.recordUsage(sentAt);
            return;
        }
        if (outcome.head !== undefined) {
            recorder.applyAnswerHead(endpoint, outcome.head, sentAt);
        }
        retries.recordNotRun(outcome.received);
    }

    private recordReach(endpoint: string, outcome: Exclude<AttemptOutcome, { kind: "answer"; }>): void {
        if (outcome.kind === "unknown") {
            this.parts.reach.recordUnreached(endpoint);
        }
        else if (!outcome.received && outcome.unsendable !== true) {
            this.parts.reach.recordUnreached(endpoint);
            this.hasUnreached = true;
        }
    }

    /** Records the end of an incomplete body. An endpoint that stopped at the time that it was given may be asked again. */
    recordBrokenBody(inFlight: InFlightAttempt, end: "cut" | "stalled", isTimeUp: boolean): void {
        this.lastReason = isTimeUp ? "answer cut at the time that the endpoint was given" : `answer ${end}`;
        this.hasLeftStream = end === "stalled";
        this.parts.selection.exclude(inFlight.endpoint.id, end === "stalled" || isTimeUp);
        this.parts.recorder.recordFailedAttempt(inFlight, "cut", isTimeUp ? "given time is up" : end);
    }

    /** Discards an answer that the caller does not get. */
    discardAnswer(inFlight: InFlightAttempt, res: IncomingMessage, status: number): void {
        const { recorder, selection } = this.parts;
        discardResponse(res);
        this.lastReason = `status ${status}`;
        recorder.recordHealth(inFlight.endpoint, status >= 500 ? "error" : "answered");
        selection.exclude(inFlight.endpoint.id);
        recorder.recordFailedAttempt(inFlight, "failed", this.lastReason);
    }
}
