import type { Configuration, Endpoint } from "@lentilramp/configuration";
import { BodyCutError, readBody } from "@lentilramp/protocol";
import type { Clock, RandomSource } from "@lentilramp/runtime";
import type { EndpointObserver } from "./endpoint-observer.ts";
import type { RequestContext } from "./request-context.ts";
import type { ServiceCalls } from "./service-calls.ts";
import { type UpstreamClient, UpstreamError } from "./upstream.ts";

const answerLimitBytes = 8 * 1_048_576;

/** Whole answer of a service. */
export interface ServiceAnswer {
    endpoint: string;
    status: number;
    contentType: string;
    body: Buffer;
}

/** A plain call as it is sent to an endpoint. */
export interface ServiceCall {
    service: string;
    operation: string;
    body: Buffer;
    context: RequestContext;
}

/** Chooses endpoints of services and sends plain calls to them. */
export class ServiceDispatcher {
    constructor(
        private readonly observer: EndpointObserver,
        private readonly upstream: UpstreamClient,
        private readonly calls: ServiceCalls,
        private readonly clock: Clock,
        private readonly random: RandomSource,
    ) {}

    /** Returns the least loaded of the usable endpoints, or undefined when none is left. */
    choose(configuration: Configuration, service: string, excluded: ReadonlySet<string>): Endpoint | undefined {
        const usable = new Set(this.observer.table.endpoints.map(endpoint => endpoint.id));
        const candidates = configuration.endpoints.filter(endpoint =>
            endpoint.services.includes(service) && usable.has(endpoint.id) && !excluded.has(endpoint.id)
        );
        return this.random.sample(candidates, candidates.length)
            .sort((a, b) => this.calls.byEndpoint.get(a.id) - this.calls.byEndpoint.get(b.id))[0];
    }

    /** Sends a call and reads the whole answer; rejects with an UpstreamError. */
    async send(endpoint: Endpoint, call: ServiceCall, signal?: AbortSignal): Promise<ServiceAnswer> {
        const { context } = call;
        return await this.calls.during(endpoint, call.service, context.workspace, async () => {
            const abort = new AbortController();
            const stop = (): void => abort.abort();
            signal?.addEventListener("abort", stop);
            const timer = this.clock.schedule(context.deadline, stop);
            try {
                const res = await this.upstream.send({
                    endpoint,
                    method: "POST",
                    path: `/operations/${encodeURIComponent(call.operation)}`,
                    headers: {
                        "x-workspace": context.workspace,
                        "x-priority": context.priority,
                        "x-request-deadline": String(Math.floor(context.deadline)),
                        ...(context.key === undefined ? {} : { "idempotency-key": context.key }),
                    },
                    body: call.body.toString("utf8"),
                    deadline: context.deadline,
                    signal: abort.signal,
                });
                const body = await readBody(res, answerLimitBytes);
                const contentType = res.headers["content-type"] ?? "application/octet-stream";
                return { endpoint: endpoint.id, status: res.statusCode ?? 502, contentType, body };
            }
            catch (err) {
                throw err instanceof BodyCutError
                    ? new UpstreamError("broken", endpoint.id, "the answer was cut")
                    : err;
            }
            finally {
                timer.cancel();
                signal?.removeEventListener("abort", stop);
            }
        });
    }
}
