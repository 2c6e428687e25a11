import { type CatalogCodec, checkCatalog } from "@lentilramp/catalog";
import type { AgreementDriver } from "@lentilramp/control";
import type { Clock, EventLog } from "@lentilramp/runtime";
import { type CommandOutcome, type StewardCommand, type StewardState } from "./steward-state.ts";

/** Answer to an operator's catalog. */
export type SubmitOutcome =
    | { kind: "accepted"; version: number; }
    | { kind: "invalid"; reason: string; }
    | { kind: "unavailable"; reason: string; };

/** Commands and reads of the replicated state at the leader. */
export class StewardCore {
    constructor(
        readonly driver: AgreementDriver,
        readonly state: StewardState,
        private readonly codec: CatalogCodec,
        readonly clock: Clock,
        readonly log: EventLog,
    ) {}

    async propose(command: StewardCommand): Promise<CommandOutcome> {
        return await this.driver.propose(JSON.stringify(command)) as CommandOutcome;
    }

    /** Returns why a text cannot take effect, or its number. Needs no leader. */
    validateCatalog(text: string): { version: number; } | { reason: string; } {
        const decoded = this.codec.decode(text);
        if (decoded.isErr()) {
            return { reason: decoded.error };
        }
        const reason = checkCatalog(decoded.value);
        return reason === undefined ? { version: decoded.value.version } : { reason };
    }

    /** Checks and stores an operator's text. */
    async submitCatalog(text: string): Promise<SubmitOutcome> {
        const checked = this.validateCatalog(text);
        return "reason" in checked
            ? { kind: "invalid", reason: checked.reason }
            : await this.storeCatalog(checked.version, text);
    }

    /** Stores a checked text under its number; resolves when it survives the tolerated losses. */
    async storeCatalog(number: number, text: string): Promise<SubmitOutcome> {
        try {
            const { version } = await this.propose({ type: "catalog", version: number, text });
            return { kind: "accepted", version };
        }
        catch (err) {
            return { kind: "unavailable", reason: errorMessage(err) };
        }
    }

    /** The newest text, confirmed by a majority; undefined before the first. Rejects with a ControlError. */
    async readCatalog(): Promise<{ version: number; text: string; } | undefined> {
        await this.driver.read();
        return this.state.catalog;
    }
}

export function errorMessage(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}
