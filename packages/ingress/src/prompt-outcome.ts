import { type Endpoint, sharedParts } from "@lentilramp/fleet";
import type { Timer } from "@lentilramp/runtime";
import type { AdmittedRequest } from "./admission.ts";
import type { BodyEnd } from "./answer-writer.ts";
import type { RelayContext } from "./relay.ts";

/**
 * Time that an answer must last after its first chunk to count as begun, in milliseconds. An engine that crashes as it
 * writes the first token may have sent a part of it.
 */
const begunAfterMs = 100;

/** Records what one request shows of its prompt: that an engine has begun to answer it, or has crashed before. */
export class PromptOutcome {
    /** Parts of the prompt that others can share. */
    readonly parts: readonly string[];
    private begun = false;
    private timer: Timer | undefined;

    constructor(private readonly admitted: AdmittedRequest, private readonly ctx: RelayContext) {
        this.parts = sharedParts(admitted.dispatch.work?.parts ?? []);
    }

    /** Whether requests with a part of this prompt are refused. */
    get isBlocked(): boolean {
        return this.ctx.view.crashes?.blockingPart(this.parts) !== undefined;
    }

    /** Whether the request may be sent to another endpoint after one may have run it. */
    get mayRepeat(): boolean {
        return this.ctx.view.crashes?.mayRepeat(this.parts) ?? true;
    }

    /** Called when the first chunk of an attempt's answer has arrived. */
    onFirstChunk(): void {
        const { clock } = this.ctx;
        this.timer = clock.schedule(clock.now() + begunAfterMs, () => this.recordBegun());
    }

    /** Called when the answer of an attempt has ended. */
    onAnswerEnd(endpoint: Endpoint, end: BodyEnd, status: number): void {
        this.timer?.cancel();
        if (end === "complete" && status === 200) {
            this.recordBegun();
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

    private recordBegun(): void {
        if (!this.begun) {
            this.begun = true;
            this.ctx.view.crashes?.recordBegun(this.parts, this.ctx.clock.now());
        }
    }
}
