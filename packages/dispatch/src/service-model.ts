import { LatencyModel, type Prediction } from "./latency-model.ts";
import type { EstimatedLoad } from "./load-tracker.ts";
import type { Candidate, DispatchRequest } from "./types.ts";

/** Service time of a plain call until one has been measured, in milliseconds. */
const initialServiceMs = 80;
/** Weight of a new sample in the moving average. */
const sampleWeight = 0.05;

/** Predicts the time to the answer of a plain service from a moving average of measured service times. */
export class ServiceModel extends LatencyModel {
    private serviceMs = initialServiceMs;

    /** Records the service time of a completed call, which should not include a wait for a slot. */
    observe(serviceMs: number): void {
        this.serviceMs += (serviceMs - this.serviceMs) * sampleWeight;
    }

    override predict(req: DispatchRequest, endpoint: Candidate, load: EstimatedLoad): Prediction {
        void req;
        const excessRequests = Math.max(0, load.running + 1 - endpoint.slots);
        return {
            firstByteMs: this.serviceMs * (1 + excessRequests / Math.max(1, endpoint.slots)),
            idleFirstByteMs: this.serviceMs,
            unreadTokens: 0,
        };
    }
}
