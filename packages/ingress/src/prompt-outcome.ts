import { type Endpoint, suspectKeys } from "@lentilramp/fleet";
import type { Timer } from "@lentilramp/runtime";
import type { AdmittedRequest } from "./admission.ts";
import type { BodyEnd } from "./body-reader.ts";
import type { RelayContext } from "./relay-context.ts";

/**
 * Time that an answer must last after its first chunk to count as begun, in milliseconds. An endpoint that crashes as it
 * writes the first chunk may have sent a part of it.
 */
const begunAfterMs = 100;

/** Records what one request shows of itself and its prompt: that an endpoint has begun to answer, or has crashed before. */
export class PromptOutcome {
    private begun = false;
    private timer: Timer | undefined;

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {}

    /** Whether the request may be sent to another endpoint after one may have run it. */
    get mayRepeat(): boolean {
        const { suspects } = this.admitted;
        const { view, clock } = this.ctx;
        return suspects === undefined
            || (view.crashes?.mayRepeat(view.judgedSuspects(suspects), clock.now()) ?? true);
    }

    /** Called when the first chunk of an attempt's streamed answer has arrived. */
    onFirstChunk(): void {
        const { clock } = this.ctx;
        this.timer = clock.schedule(clock.now() + begunAfterMs, () => this.recordBegun(this.keys));
    }

    /** Called when the answer of an attempt has ended. */
    onAnswerEnd(endpoint: Endpoint, end: BodyEnd, status: number): void {
        this.timer?.cancel();
        if (end === "complete" && status < 500) {
            // Errors of engines may be given without a look at the prompt.
            this.recordBegun(status === 200 ? this.keys : this.keys.slice(0, 1));
        }
        else if (end === "cut" && !this.begun) {
            this.onLoss(endpoint);
        }
        this.begun = false;
    }

    /** Called when an endpoint has ended an attempt before its answer had begun. */
    onLoss(endpoint: Endpoint): void {
        const { suspects, dispatch } = this.admitted;
        if (suspects !== undefined) {
            this.ctx.crashDetector?.recordLoss(endpoint, suspects, dispatch.id);
        }
    }

    private get keys(): string[] {
        const { suspects } = this.admitted;
        return suspects === undefined ? [] : suspectKeys(suspects);
    }

    private recordBegun(keys: readonly string[]): void {
        if (!this.begun) {
            this.begun = true;
            this.ctx.view.crashes?.recordBegun(keys, this.ctx.clock.now());
        }
    }
}
