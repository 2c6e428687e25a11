import type { EntryMember } from "@lentilramp/configuration";
import { sendJson } from "@lentilramp/protocol";
import type { Clock } from "@lentilramp/runtime";
import type { ServerResponse } from "node:http";
import { lookUpAddresses } from "./address-lookup.ts";
import { CallerError, sendCallerError } from "./caller-error.ts";
import type { ConfigurationSubscriber } from "./configuration-subscriber.ts";

const retryAfterMs = 1_000;

/** Handles `GET /v1/addresses`. */
export class AddressHandler {
    private rotation = 0;

    constructor(
        private readonly subscriber: ConfigurationSubscriber,
        private readonly localDomain: string,
        private readonly isUsable: (entry: EntryMember) => boolean,
        private readonly clock: Clock,
    ) {}

    handle(res: ServerResponse): void {
        const { configuration } = this.subscriber.view;
        if (configuration === undefined) {
            sendCallerError(
                res,
                new CallerError(503, "no-permit", "this entry has no configuration yet", "not-run", retryAfterMs),
            );
            return;
        }
        sendJson(
            res,
            200,
            lookUpAddresses(configuration.entries, this.isUsable, this.localDomain, this.rotation++, this.clock.now()),
        );
    }
}
