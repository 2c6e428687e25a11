import type { Configuration } from "@lentilramp/configuration";
import type { Clock } from "@lentilramp/runtime";
import type { IncomingMessage } from "node:http";
import { CallerError } from "./caller-error.ts";
import type { ConfigurationSubscriber } from "./configuration-subscriber.ts";
import { readContext, type RequestContext } from "./request-context.ts";

const permitRetryMs = 1_000;

/** Checks that precede every request: draining, configuration, send permit and headers. */
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

    /** Returns the configuration in force and the request's context; throws a CallerError when it is refused. */
    check(req: IncomingMessage, defaultMs: number): { configuration: Configuration; context: RequestContext; } {
        const now = this.clock.now();
        if (this.draining) {
            throw new CallerError(503, "draining", "this entry is stopping; use another address", "not-run", 0);
        }
        const { configuration } = this.subscriber.view;
        if (configuration === undefined || !this.subscriber.mayDispatch(now)) {
            throw new CallerError(503, "no-permit", "this entry has no send permit now", "not-run", permitRetryMs);
        }
        return { configuration, context: readContext(req, configuration, defaultMs, now) };
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
