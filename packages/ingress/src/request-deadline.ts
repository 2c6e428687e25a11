import type { CatalogRoute } from "@lentilramp/catalog";
import type { CallerHead } from "@lentilramp/exchange";
import type { Timer } from "@lentilramp/runtime";
import type { AdmittedRequest } from "./admission.ts";
import type { RelayContext } from "./relay-context.ts";

/** Timeout of a caller that sends none, in milliseconds. */
const defaultCallerTimeoutMs = 30_000;
/** Time by which an endpoint may stop before the time that it was given is up here, in milliseconds. */
const clockToleranceMs = 20;

/** Returns the instant at which the caller or the route abandons a request that arrived at `arrivedAt`. */
export function requestDeadline(
    arrivedAt: number,
    { timeoutMs }: Pick<CallerHead, "timeoutMs">,
    route: CatalogRoute,
): number {
    return arrivedAt + Math.min(timeoutMs ?? defaultCallerTimeoutMs, route.timeoutMs);
}

/**
 * Watches the deadline of one request. The deadline of a begun stream moves with a catalog that raises the timeout of
 * its route, and never becomes earlier, since the caller and the endpoint count on it. A request without an answer ends
 * at the timeout with which it was taken.
 */
export class DeadlineWatch {
    private timer: Timer | undefined;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        /** Whether a stream has begun. */
        private readonly hasBegun: () => boolean,
        private readonly onDeadline: () => void,
        /** Called when the deadline has moved. */
        private readonly onExtension: () => void,
    ) {}

    start(): void {
        this.timer = this.ctx.clock.schedule(this.admitted.dispatch.deadline, () => {
            if (!this.extends()) {
                this.onDeadline();
            }
        });
    }

    cancel(): void {
        this.timer?.cancel();
    }

    /** Whether an endpoint has stopped at the instant `stopsAt` that it was given, while the request has more time by now. */
    hasMoreTimeThan(stopsAt: number): boolean {
        this.extends();
        return stopsAt < this.admitted.dispatch.deadline && this.ctx.clock.now() >= stopsAt - clockToleranceMs;
    }

    private extends(): boolean {
        const { admitted: { req, head, dispatch }, ctx } = this;
        const route = ctx.view.routes?.find(req.headers.host ?? "", req.url ?? "/");
        const deadline = route === undefined ? -Infinity : requestDeadline(dispatch.arrivedAt, head, route);
        if (!this.hasBegun() || deadline <= dispatch.deadline) {
            return false;
        }
        dispatch.deadline = deadline;
        this.cancel();
        this.start();
        this.onExtension();
        return true;
    }
}
