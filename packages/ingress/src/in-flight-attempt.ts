import type { EndpointChoice, InFlightRequest } from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { AdmittedRequest } from "./admission.ts";
import { Attempt } from "./attempt.ts";
import type { RelayContext } from "./relay-context.ts";
import { answerExpectedBy, silenceLimitMs } from "./send-timing.ts";

/** An attempt at an endpoint whose answer has not ended. */
export interface InFlightAttempt {
    attempt: Attempt;
    endpoint: Endpoint;
    booking: InFlightRequest;
    sentAt: number;
    /** Instant by which the answer is expected to have begun. */
    firstByteExpectedBy: number;
    /** Instant from which silence counts as the endpoint's fault and not as the effect of a route's short timeout. */
    silenceFaultFrom: number;
    /** Instant at which the endpoint stops work by the time that it was given. */
    stopsAt: number;
    /** Whether the endpoint may have received the request. */
    sent: boolean;
    slotReleased: boolean;
}

/**
 * Creates an attempt at the chosen endpoint and records it there: as load, as a trial after an ejection, as the use of
 * a permit, and in the memory of prompts. `lastEventId` is the position from which a stream is resumed; `tryReplace`
 * returns whether another attempt can be made now instead of this one when its answer is overdue.
 */
export function createAttempt(
    admitted: AdmittedRequest,
    ctx: RelayContext,
    { endpoint, prediction }: EndpointChoice<Endpoint>,
    { lastEventId, tryReplace }: { lastEventId: string | undefined; tryReplace: () => boolean; },
): InFlightAttempt {
    const now = ctx.clock.now();
    const { dispatch } = admitted;
    const service = ctx.view.catalog?.services.get(dispatch.service);
    const firstByteExpectedBy = answerExpectedBy(admitted, prediction, now);
    const attempt = new Attempt(
        {
            endpoint,
            method: admitted.req.method ?? "GET",
            target: admitted.req.url ?? "/",
            headers: ctx.headerCodec.encodeEndpointHeaders(admitted.req.rawHeaders, {
                endpointId: endpoint.id,
                workspace: admitted.workspace?.name,
                timeLeftMs: Math.max(1, Math.floor(dispatch.deadline - now)),
                lastEventId,
                enginePriority: service?.engine === undefined ? undefined : Math.min(9, dispatch.rank + 3),
            }),
            body: admitted.body,
            attemptId: admitted.head.attemptId,
            headExpectedBy: firstByteExpectedBy,
            tryReplace,
            maxIdleConnections: ctx.maxIdleConnections(dispatch.service),
        },
        ctx.pool,
        ctx.headerCodec,
        ctx.clock,
    );
    // Booked last, so that an attempt that cannot be prepared leaves nothing behind.
    if (dispatch.work !== undefined && service?.engine !== undefined) {
        ctx.view.prefixMemory.record(endpoint.id, dispatch.work.parts, service.engine.kvCacheTokens, now);
    }
    ctx.view.health.recordDispatch(endpoint.id, now);
    ctx.view.limits.recordSend(endpoint.id, now);
    const booking = ctx.view.loads.trackRequest(endpoint.id, prediction, now);
    return {
        attempt,
        endpoint,
        booking,
        sentAt: now,
        firstByteExpectedBy,
        silenceFaultFrom: now + silenceLimitMs(prediction),
        stopsAt: dispatch.deadline,
        sent: false,
        slotReleased: false,
    };
}
