import type { Configuration, Endpoint } from "@lentilramp/configuration";
import { IncompleteBodyError, readResponseBody } from "@lentilramp/protocol";
import { LatencyAwarePolicy } from "@lentilramp/routing";
import type { Clock, RandomSource } from "@lentilramp/runtime";
import type { EndpointObserver } from "./endpoint-observer.ts";
import type { InFlightCalls } from "./in-flight-calls.ts";
import type { RequestContext } from "./request-context.ts";
import { type UpstreamClient, UpstreamError } from "./upstream.ts";

const answerLimitBytes = 8 * 1_048_576;

/** Complete answer of a service. */
export interface ServiceAnswer {
    endpoint: string;
    status: number;
    contentType: string;
    body: Buffer;
}

/** Call of a service operation. */
export interface ServiceCall {
    service: string;
    operation: string;
    body: Buffer;
    context: RequestContext;
}

/** Chooses endpoints of services and sends calls to them. */
export class ServiceDispatcher {
    private readonly policy: LatencyAwarePolicy;
    private callCount = 0;

    constructor(
        private readonly observer: EndpointObserver,
        private readonly upstream: UpstreamClient,
        private readonly inFlightCalls: InFlightCalls,
        private readonly clock: Clock,
        random: RandomSource,
    ) {
        this.policy = new LatencyAwarePolicy(random);
    }

    /** Returns the endpoint for a call, or undefined when no endpoint is available. */
    choose(configuration: Configuration, call: ServiceCall, excluded: ReadonlySet<string>): Endpoint | undefined {
        const { table } = this.observer;
        const servingIds = new Set(
            configuration.endpoints.filter(endpoint => endpoint.services.includes(call.service)).map(endpoint =>
                endpoint.id
            ),
        );
        const excludedIds = table.endpoints.map(endpoint => endpoint.id).filter(id =>
            !servingIds.has(id) || excluded.has(id)
        );
        const { priority, deadline } = call.context;
        const choice = this.policy.choose(
            { priority, deadline, excluded: new Set(excludedIds) },
            table,
            this.clock.now(),
        );
        return choice.isOk() ? this.observer.find(choice.value.endpoint.id) : undefined;
    }

    /** Sends a call and reads the whole answer. Rejects with an UpstreamError when the answer does not arrive. */
    async send(endpoint: Endpoint, call: ServiceCall, signal?: AbortSignal): Promise<ServiceAnswer> {
        const { context } = call;
        const { table } = this.observer;
        const callId = `call-${this.callCount++}`;
        const startedAt = this.clock.now();
        table.recordCall(callId, endpoint.id, context, startedAt);
        return await this.inFlightCalls.track(endpoint, call.service, context.workspace, async () => {
            const abortController = new AbortController();
            const cancel = (): void => abortController.abort();
            signal?.addEventListener("abort", cancel);
            const timer = this.clock.schedule(context.deadline, cancel);
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
                    signal: abortController.signal,
                });
                const body = await readResponseBody(res, answerLimitBytes);
                table.recordSuccess(endpoint.id, this.clock.now() - startedAt, this.clock.now());
                const contentType = res.headers["content-type"] ?? "application/octet-stream";
                return { endpoint: endpoint.id, status: res.statusCode ?? 502, contentType, body };
            }
            catch (err) {
                table.recordFailure(endpoint.id, this.clock.now());
                throw err instanceof IncompleteBodyError
                    ? new UpstreamError("broken", endpoint.id, "the answer was cut")
                    : err;
            }
            finally {
                table.inFlight.recordEnd(callId);
                timer.cancel();
                signal?.removeEventListener("abort", cancel);
            }
        });
    }
}
