import type { EndpointChoice } from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { AdmittedRequest } from "./admission.ts";
import type { CallOutcome, CallRecorder } from "./call-recorder.ts";
import { endpointRefusedRetryMs } from "./endpoint-selection.ts";
import type { InFlightAttempt } from "./in-flight-attempt.ts";
import { answerClosedCaller, breakOffAnswer, sendRefusal } from "./refusal.ts";
import type { RelayContext } from "./relay-context.ts";

/** What has been done for a request when it ends. */
export interface CallState {
    /** Number of endpoints that ran or may have run the request. */
    runs: number;
    /** The last attempt. */
    attempt: InFlightAttempt | undefined;
    /** Whether the caller has got the head of an answer. */
    hasBegun: boolean;
}

/** Decides how a request ends that gets no endpoint's answer: with which status, and whether its cap is refunded. */
export class CallEnd {
    /** Whether the caller has what it is owed, or somebody else answers it. */
    finished = false;
    outcome: CallOutcome = "answered";

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly recorder: CallRecorder,
        private readonly state: () => CallState,
    ) {}

    /** Records that a peer answers the request. */
    handOver(): void {
        this.finished = true;
        this.outcome = "forwarded";
    }

    /** Ends the request of a caller that has left. */
    leave(): void {
        const { res } = this.admitted;
        const { runs, attempt, hasBegun } = this.state();
        const notSent = runs === 0 && attempt?.sent !== true;
        this.outcome = "left";
        this.finished = true;
        answerClosedCaller(res, !notSent, this.ctx.connections.closesAfter(res));
        if (notSent) {
            this.refund();
        }
        this.recorder.recordLeft(attempt, runs, hasBegun);
    }

    /** Ends the request without an endpoint's answer. A caller may retry a request that is certain not to have run. */
    giveUp(reason: string, retryAfterMs: number | undefined, best?: EndpointChoice<Endpoint>): void {
        const { res } = this.admitted;
        const { runs, attempt, hasBegun } = this.state();
        const notRun = runs === 0 && (attempt?.sent !== true || attempt.slotReleased || retryAfterMs !== undefined);
        this.finished = true;
        this.outcome = hasBegun ? "cut" : notRun ? "refused" : "failed";
        // What the caller is owed comes before anything that may fail.
        if (hasBegun) {
            this.recorder.reportCut(reason, () => breakOffAnswer(res));
        }
        else {
            const status = notRun ? 503 : reason === "time is up" ? 504 : 502;
            const retryMs = notRun ? retryAfterMs ?? endpointRefusedRetryMs : undefined;
            sendRefusal(res, status, reason, retryMs, this.ctx.connections.closesAfter(res));
        }
        if (notRun) {
            this.refund();
        }
        // The attempt in progress is counted only when it has ended.
        this.recorder.recordGiveUp(reason, notRun ? 0 : Math.max(1, runs), best);
    }

    private refund(): void {
        const { workspace, units } = this.admitted;
        if (workspace !== undefined) {
            this.ctx.view.caps.refund(workspace, units);
        }
    }
}
