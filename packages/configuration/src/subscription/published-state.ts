import type { Increment } from "../change/change.ts";
import type { Configuration } from "../schema/index.ts";

/** What a publisher serves; implemented by `ConfigurationStore` and by `ConfigurationRelay`. */
export interface PublishedState {
    readonly version: number;
    readonly configuration: Configuration;
    /** Increments from `version` to the newest, or undefined when only a full transfer helps. */
    incrementsSince(version: number): Increment[] | undefined;
}

/** Grants send permits; implemented by `PermitGrantor` and by `ConfigurationRelay`. */
export interface PermitSource {
    /**
     * Returns the duration, in ms from the sending of a request received at `receivedAt`, of a permit granted now, or
     * undefined when none may be granted.
     */
    grant(receivedAt: number, now: number): number | undefined;
}
