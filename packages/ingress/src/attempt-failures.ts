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
    /** Attempts that ran the request or may have run it, unless their endpoint has stated since that it has not. */
    private readonly ran = new Set<InFlightAttempt>();
    /** Attempts whose answer was overdue. */
    private readonly silent = new Set<InFlightAttempt>();

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
        return this.ranAt().size;
    }

    /** Returns the number of endpoints that may have run the request if `endpoint` is one of them. */
    runsWith(endpoint: string): number {
        return this.ranAt().add(endpoint).size;
    }

    private ranAt(): Set<string> {
        return new Set([...this.ran].filter(({ attempt }) => !attempt.hasNotRun).map(({ endpoint }) => endpoint.id));
    }

    recordRun(inFlight: InFlightAttempt): void {
        this.ran.add(inFlight);
    }

    /** Counts the request as run at the instant `at`, or when it was sent to a silent endpoint that may have run it. */
    recordUsage(at: number): void {
        this.parts.recorder.recordUsage(Math.min(at, this.silentRunAt));
    }

    /** Instant at which the request was first sent to a silent endpoint that may have run it; Infinity without one. */
    private get silentRunAt(): number {
        const mayHaveRun = [...this.silent].filter(({ attempt }) => !attempt.hasNotRun);
        return Math.min(Infinity, ...mayHaveRun.map(({ sentAt }) => sentAt));
    }

    /** Counts a request that has ended if a silent endpoint may have run it, for instance one that began to answer. */
    recordEnd(): void {
        if (this.silentRunAt !== Infinity) {
            this.recordUsage(this.silentRunAt);
        }
    }

    /** Records that a silent attempt has been closed: its endpoint cannot state any more that it has not run the request. */
    recordClosed(inFlight: InFlightAttempt): void {
        if (this.silent.has(inFlight) && !inFlight.attempt.hasNotRun) {
            this.recordUsage(inFlight.sentAt);
        }
    }

    /** Records an attempt that this ingress aborted; the resulting reset does not count against the endpoint. */
    recordAbandoned(inFlight: InFlightAttempt, outcome: AttemptOutcome): void {
        const { recorder } = this.parts;
        const { endpoint, sentAt } = inFlight;
        if (outcome.kind === "answer") {
            discardResponse(outcome.res);
            recorder.applyAnswerHead(endpoint, outcome.head, sentAt);
        }
        if (outcome.kind !== "not-run") {
            this.recordRun(inFlight);
            this.recordUsage(sentAt);
        }
    }

    /**
     * Records that the answer of an attempt is overdue. Its endpoint counts as one that may have run the request until it
     * states the opposite; the request counts as used only once that is no longer possible, or an endpoint has run it.
     */
    recordSilence(inFlight: InFlightAttempt): void {
        const { recorder, selection, clock } = this.parts;
        const { endpoint } = inFlight;
        this.lastReason = "no answer in time";
        if (clock.now() >= inFlight.silenceFaultFrom) {
            recorder.recordHealth(endpoint, "broken");
        }
        this.parts.reach.recordUnreached(endpoint.id);
        selection.exclude(endpoint.id, true);
        recorder.recordFailedAttempt(inFlight, "unknown", this.lastReason);
        this.recordRun(inFlight);
        this.silent.add(inFlight);
    }

    /** Records an attempt that ended without an answer. */
    recordFailure(inFlight: InFlightAttempt, outcome: Exclude<AttemptOutcome, { kind: "answer"; }>): void {
        const { recorder, selection, prompt, retries } = this.parts;
        const { endpoint, sentAt } = inFlight;
        this.lastReason = outcome.reason;
        if (outcome.kind === "unknown") {
            recorder.recordHealth(endpoint, "broken");
        }
        else if (!outcome.received && outcome.unsendable !== true) {
            recorder.recordUnopened(endpoint);
        }
        this.recordReach(endpoint.id, outcome);
        selection.exclude(endpoint.id);
        recorder.recordFailedAttempt(inFlight, outcome.kind, outcome.reason);
        if (outcome.kind === "unknown") {
            prompt.onLoss(endpoint);
            this.recordRun(inFlight);
            this.recordUsage(sentAt);
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
