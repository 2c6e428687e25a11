import type { Increment } from "../change/change.ts";
import type { Configuration } from "../schema/index.ts";

/** Configuration that a publisher distributes; implemented by `ConfigurationStore` and `ConfigurationRelay`. */
export interface PublishedState {
    readonly version: number;
    readonly configuration: Configuration;
    /** Returns the increments from `version` to the newest version, or undefined when a full transfer is needed. */
    incrementsSince(version: number): Increment[] | undefined;
}

/** Source of send permits; implemented by `PermitGrantor` and `ConfigurationRelay`. */
export interface PermitSource {
    /**
     * Returns the duration in milliseconds of a permit for a request received at `receivedAt`, counted from the sending
     * of the request, or undefined when no permit may be granted now.
     */
    grant(receivedAt: number, now: number): number | undefined;
}
