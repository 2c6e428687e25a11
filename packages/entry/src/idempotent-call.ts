import type { Configuration, Route } from "@lentilramp/configuration";
import type { Clock, EventLog } from "@lentilramp/runtime";
import { CallerError } from "./caller-error.ts";
import type { ServiceAnswer, ServiceCall, ServiceDispatcher } from "./service-dispatcher.ts";
import { UpstreamError } from "./upstream.ts";

const noEndpointRetryMs = 1_000;

/** Sends an idempotent call, and again to other endpoints after a failure, as the route allows. */
export class IdempotentCaller {
    constructor(
        private readonly dispatcher: ServiceDispatcher,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    async call(configuration: Configuration, route: Route | undefined, call: ServiceCall): Promise<ServiceAnswer> {
        const excluded = new Set<string>();
        const maxAttempts = route?.retry.maxAttempts ?? 1;
        let sent = false;
        for (let attempt = 1;; attempt++) {
            const endpoint = this.dispatcher.choose(configuration, call, excluded);
            if (endpoint === undefined) {
                throw new CallerError(
                    503,
                    "no-endpoint",
                    `no endpoint serves ${call.service} now`,
                    sent ? "unknown" : "not-run",
                    noEndpointRetryMs,
                );
            }
            try {
                return await this.dispatcher.send(endpoint, call);
            }
            catch (err) {
                if (!(err instanceof UpstreamError)) {
                    throw err;
                }
                sent ||= err.failure !== "refused";
                excluded.add(endpoint.id);
                this.log.info("call.attempt-failed", {
                    service: call.service,
                    endpoint: endpoint.id,
                    attempt,
                    reason: err.failure,
                });
                if (attempt >= maxAttempts || this.clock.now() >= call.context.deadline) {
                    throw new CallerError(
                        504,
                        "endpoint-failed",
                        `no answer after ${attempt} attempts: ${err.message}`,
                        sent ? "unknown" : "not-run",
                        noEndpointRetryMs,
                    );
                }
            }
        }
    }
}
