import type { HeaderCodec } from "@lentilramp/exchange";
import type { Clock } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import { checkRequest } from "./check-request.ts";
import type { FleetView } from "./fleet-view.ts";
import type { PlannedStop } from "./planned-stop.ts";
import { StartupWaits } from "./startup-waits.ts";

/** Longest time that a request waits for this process to become ready, in milliseconds; stewards start more slowly. */
const startupWaitMs = 900;
/** Fraction of a request's own time for which it waits at most. */
const startupWaitFraction = 1 / 2;

/** Decides how long a request that arrives during startup waits before it is admitted or refused. */
export class StartupDelay {
    private readonly waits: StartupWaits;

    constructor(
        private readonly ctx: {
            readonly view: FleetView;
            readonly headerCodec: HeaderCodec;
            readonly clock: Clock;
            readonly stop: PlannedStop;
        },
    ) {
        this.waits = new StartupWaits(ctx.clock, () => ctx.view.ready);
    }

    /** Whether a request that arrives now waits. */
    get isNeeded(): boolean {
        return this.waits.isBusy && !this.ctx.view.lacksNewerCatalog;
    }

    /** Lets the waiting requests go on if this process has become ready. */
    check(): void {
        this.waits.check();
    }

    /**
     * Delays a request that arrived during startup; the process is usually ready within a fraction of a second, and the
     * most urgent requests then go first. A request with little time waits for a part of it, so that it can still be
     * served or tried at another ingress.
     */
    async wait(res: ServerResponse, arrivedAt: number): Promise<void> {
        const { view, headerCodec, clock, stop } = this.ctx;
        const { req } = res;
        const { timeoutMs = Infinity } = headerCodec.decodeCallerHead(req.headers);
        const route = view.routes?.find(req.headers.host ?? "", req.url ?? "/");
        const ownTimeMs = Math.min(timeoutMs, route?.timeoutMs ?? Infinity);
        const giveUpAt = Math.min(arrivedAt + startupWaitMs, clock.now() + ownTimeMs * startupWaitFraction);
        if (clock.now() < giveUpAt) {
            await this.waits.wait({
                giveUpAt,
                isOver: now => res.destroyed || stop.takesNone(now),
                rank: () => this.rankOf(req),
            });
        }
    }

    /** Returns the rank that a request has once it is admitted, the most urgent one lowest; the last one if it is not. */
    private rankOf(req: IncomingMessage): number {
        const { view, headerCodec, clock } = this.ctx;
        const checked = checkRequest(req, headerCodec.decodeCallerHead(req.headers), view, clock.now());
        return "status" in checked ? Number.MAX_SAFE_INTEGER : checked.workspace?.rank ?? checked.route.rank;
    }
}
