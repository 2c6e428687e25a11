import type { Configuration } from "@lentilramp/configuration";
import type { Clock } from "@lentilramp/runtime";
import type { IncomingMessage } from "node:http";
import { CallerError } from "./caller-error.ts";
import type { ConfigurationSubscriber } from "./configuration-subscriber.ts";
import { readRequestContext, type RequestContext } from "./request-context.ts";

const permitRetryAfterMs = 1_000;

/** Checks every request before admission: draining, configuration, send permit and headers. */
export class RequestGate {
    private draining = false;
    accepted = 0;
    refused = 0;

    constructor(private readonly subscriber: ConfigurationSubscriber, private readonly clock: Clock) {}

    get isDraining(): boolean {
        return this.draining;
    }

    startDraining(): void {
        this.draining = true;
    }

    /** Returns the current configuration and the context of a request. Throws a CallerError to refuse the request. */
    check(req: IncomingMessage, defaultTimeoutMs: number): { configuration: Configuration; context: RequestContext; } {
        const now = this.clock.now();
        if (this.draining) {
            throw new CallerError(503, "draining", "this entry is stopping; use another address", "not-run", 0);
        }
        const { configuration } = this.subscriber.view;
        if (configuration === undefined || !this.subscriber.mayDispatch(now)) {
            throw new CallerError(503, "no-permit", "this entry has no send permit now", "not-run", permitRetryAfterMs);
        }
        return { configuration, context: readRequestContext(req, configuration, defaultTimeoutMs, now) };
    }

    countRequest(accepted: boolean): void {
        if (accepted) {
            this.accepted++;
        }
        else {
            this.refused++;
        }
    }
}
