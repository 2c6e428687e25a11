import { halfLifeDecay } from "./decaying-ratio.ts";
import { LatencyModel, type MeasuredAnswer, type Prediction } from "./latency-model.ts";
import type { EstimatedLoad } from "./load-tracker.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Service time of a plain call until one has been measured, in milliseconds. */
const initialServiceMs = 80;
/** Weight of a new sample in the moving average. */
const sampleWeight = 0.05;
/**
 * Half-life of the average while endpoints are estimated, in milliseconds. It is long beside that of the estimates, which
 * follow the changes of each endpoint relative to the average.
 */
const estimatedHalfLifeMs = 10_000;
/** Largest weight of one sample in it, so that a call after a pause does not replace the average. */
const maxEstimatedWeight = 0.5;

/**
 * Predicts the time to the answer of a plain service from a moving average of measured service times, and from the
 * estimates of the endpoints that state their pace.
 */
export class ServiceModel extends LatencyModel {
    private serviceMs = initialServiceMs;
    private estimatedAnswers = 0;
    private estimatedAt = 0;

    /** Records the service time of a completed call, which should not include a wait for a slot. */
    observe(serviceMs: number, answer?: MeasuredAnswer): void {
        if (this.pace === undefined || answer === undefined || !this.pace.statesPace(answer.endpoint.id)) {
            this.serviceMs += (serviceMs - this.serviceMs) * sampleWeight;
            return;
        }
        const { endpoint: { id, slots }, prediction, running } = answer;
        this.pace.observe(id, serviceMs, prediction.firstByteMs / (prediction.factor ?? 1));
        this.pace.observeConcurrency(id, slots, running + 1, serviceMs, this.serviceMs);
        const { now } = this.pace;
        const weight = Math.max(
            1 / (this.estimatedAnswers + 2),
            1 - halfLifeDecay(now - this.estimatedAt, estimatedHalfLifeMs),
        );
        this.estimatedAnswers++;
        this.estimatedAt = now;
        this.serviceMs += (serviceMs - this.serviceMs) * Math.min(maxEstimatedWeight, weight);
    }

    override snapshot(): ServiceModel {
        const copy = new ServiceModel(this.pace?.snapshot());
        copy.serviceMs = this.serviceMs;
        copy.estimatedAnswers = this.estimatedAnswers;
        copy.estimatedAt = this.estimatedAt;
        return copy;
    }

    override predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction {
        void req;
        const excessRequests = Math.max(0, load.running + 1 - endpoint.slots);
        const queueFactor = 1 + excessRequests / Math.max(1, endpoint.slots);
        const factor = this.pace?.factor(endpoint.id);
        if (factor === undefined) {
            return { firstByteMs: this.serviceMs * queueFactor, idleFirstByteMs: this.serviceMs, unreadTokens: 0 };
        }
        const concurrencyFactor = this.pace?.concurrencyFactor(endpoint.id, load.running + 1) ?? 1;
        return {
            firstByteMs: this.serviceMs * factor * Math.max(queueFactor, concurrencyFactor),
            idleFirstByteMs: this.serviceMs * factor,
            unreadTokens: 0,
            factor,
            fullAt: this.pace?.fullAt(endpoint.id),
        };
    }
}
