import { EngineModel, type MeasuredAnswer, ServiceModel } from "@lentilramp/dispatch";
import type { AnswerHead } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import type { RelayContext } from "./relay-context.ts";

/** The request was sent at `sentAt` to the endpoint that the decision chose. */
interface Decided extends MeasuredAnswer {
    sentAt: number;
}

/** Records what the attempts of one request show of the pace of endpoints. */
export class PaceRecorder {
    private readonly decided = new Map<string, Decided>();
    private readonly measured = new Set<string>();

    constructor(private readonly service: string, private readonly ctx: RelayContext) {}

    recordDecision(choice: MeasuredAnswer): void {
        this.decided.set(choice.endpoint.id, { ...choice, sentAt: this.ctx.clock.now() });
        this.measured.delete(choice.endpoint.id);
    }

    /** Records the load that an endpoint states, and a rejection for lack of capacity. */
    recordHead({ id }: Endpoint, { load, notRun, leaving, limitPerSecond }: AnswerHead): void {
        const { pace } = this.ctx.latencyModel(this.service);
        if (load === "unreadable") {
            this.ctx.metrics.count("load_headers_ignored");
        }
        const statedPace = typeof load === "object" ? load.pace : undefined;
        pace?.recordReport(id, statedPace);
        if (statedPace !== undefined) {
            this.ctx.roomGate.recordPace(this.service);
        }
        // An endpoint that leaves or limits its requests rejects them for another reason than its capacity.
        if (notRun && !leaving && limitPerSecond === undefined) {
            pace?.recordRejection(id, this.decided.get(id)?.running ?? 0);
            this.measured.add(id);
        }
    }

    /** Records the first byte of an answer of an engine. */
    recordFirstByte(): void {
        const [only] = this.decided.values();
        // With several attempts it is not known here which one the first byte comes from.
        if (only !== undefined && this.decided.size === 1) {
            const model = this.ctx.latencyModel(this.service);
            if (model instanceof EngineModel) {
                this.observe(only, this.ctx.clock.now() - only.sentAt);
            }
        }
    }

    /** Records the end of a complete answer of a plain service. */
    recordWholeAnswer({ id }: Endpoint, serviceMs: number): void {
        const model = this.ctx.latencyModel(this.service);
        // A time that has been recorded as overdue counts once; endpoints without an estimate have no such times.
        if (model instanceof ServiceModel && !(this.measured.has(id) && model.pace?.statesPace(id))) {
            this.measured.add(id);
            model.observe(serviceMs, this.decided.get(id));
        }
    }

    /**
     * Records that an attempt has no answer although the predicted time is over. Without these, the slowest answers
     * would be missing from the evidence, since they are replaced or their callers leave.
     */
    recordOverdue({ id }: Endpoint): void {
        const decided = this.decided.get(id);
        if (decided !== undefined) {
            const elapsedMs = this.ctx.clock.now() - decided.sentAt;
            if (elapsedMs > decided.prediction.firstByteMs) {
                this.observe(decided, elapsedMs);
            }
        }
    }

    private observe({ endpoint: { id }, prediction: { firstByteMs, factor = 1 } }: Decided, measuredMs: number): void {
        if (!this.measured.has(id)) {
            this.measured.add(id);
            this.ctx.latencyModel(this.service).pace?.observe(id, measuredMs, firstByteMs / factor);
        }
    }
}
