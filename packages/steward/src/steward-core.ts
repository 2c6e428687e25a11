import { type CatalogCodec, checkCatalog } from "@lentilramp/catalog";
import { type AgreementDriver, ControlError } from "@lentilramp/control";
import type { Clock, EventLog } from "@lentilramp/runtime";
import { type CommandOutcome, parseCommand, type StewardCommand, type StewardState } from "./steward-state.ts";

/** Result of submitting a catalog. */
export type SubmitOutcome =
    | { kind: "accepted"; version: number; }
    | { kind: "invalid"; reason: string; }
    | { kind: "unavailable"; reason: string; };

/** Checks catalogs, and proposes commands to and reads the replicated state of the stewards. */
export class StewardCore {
    constructor(
        readonly driver: AgreementDriver,
        readonly state: StewardState,
        private readonly codec: CatalogCodec,
        readonly clock: Clock,
        readonly log: EventLog,
    ) {}

    /** Replicates a command and returns its result. Rejects with a ControlError. */
    async propose(command: StewardCommand): Promise<CommandOutcome> {
        const text = JSON.stringify(command);
        if (parseCommand(text) === undefined) {
            // For instance, JSON has no numbers that are not finite.
            throw new ControlError("refused", `the command ${command.type} cannot be read back from its text`);
        }
        return await this.driver.propose(text) as CommandOutcome;
    }

    /** Returns the version of a catalog, or the reason why it is invalid. Needs no leader. */
    validateCatalog(text: string): { version: number; } | { reason: string; } {
        const decoded = this.codec.decode(text);
        if (decoded.isErr()) {
            return { reason: decoded.error };
        }
        const reason = checkCatalog(decoded.value);
        return reason === undefined ? { version: decoded.value.version } : { reason };
    }

    /** Validates and stores an operator's catalog. */
    async submitCatalog(text: string): Promise<SubmitOutcome> {
        const checked = this.validateCatalog(text);
        return "reason" in checked
            ? { kind: "invalid", reason: checked.reason }
            : await this.storeCatalog(checked.version, text);
    }

    /** Stores a valid catalog under its version; resolves once it is stored durably enough for the tolerated losses. */
    async storeCatalog(catalogVersion: number, text: string): Promise<SubmitOutcome> {
        try {
            const { version } = await this.propose({ type: "catalog", version: catalogVersion, text });
            return { kind: "accepted", version };
        }
        catch (err) {
            return { kind: "unavailable", reason: errorMessage(err) };
        }
    }

    /**
     * Resolves once a majority has confirmed that this steward leads and has applied all that was committed before the
     * call. Rejects with a ControlError.
     */
    async confirmLeadership(): Promise<void> {
        await this.driver.confirmRead();
    }

    /** Returns the newest catalog, confirmed by a majority; undefined before the first. Rejects with a ControlError. */
    async readCatalog(): Promise<{ version: number; text: string; } | undefined> {
        await this.driver.confirmRead();
        return this.state.catalog;
    }
}

export function errorMessage(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}
