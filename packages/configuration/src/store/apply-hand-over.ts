import type { Change } from "../change/change.ts";
import { permitExpiryBoundMs } from "../permits/permit-bounds.ts";
import { findItem, lifecycleChange, transferChange } from "../rules/listed-items.ts";
import type { RuleSwitches } from "../rules/rule-switches.ts";
import type { Configuration } from "../schema/index.ts";
import { type CommandResult, refused } from "./command-result.ts";
import type { HandOverCommand } from "./command.ts";
import type { HandOverState } from "./state.ts";

export type HandOverOutcome =
    /** `next` is undefined when the hand-over is complete. */
    | { accepted: true; change: Change | undefined; next: HandOverState | undefined; }
    | { accepted: false; result: CommandResult; };

/** Step that a hand-over must have reached before each step; undefined before the first one. */
const requiredPreviousStep = {
    planned: undefined,
    draining: "planned",
    released: "draining",
    transferred: "released",
} as const;

export interface HandOverContext {
    configuration: Configuration;
    openHandOver: HandOverState | undefined;
    /** State time in milliseconds since the item was set to `draining`; undefined when it was not. */
    drainingMs: number | undefined;
    switches: RuleSwitches;
}

/** Returns the refusal of the step `released`, or undefined when its preconditions are met. */
function releaseRefusal(command: HandOverCommand, context: HandOverContext): CommandResult | undefined {
    const { version } = context.configuration;
    // Both durations must reach the bound: the one of the leader counts from the commit, the replicated one guards
    // against a leader that observed another drain.
    const waitedMs = Math.min(command.sinceAppliedMs ?? 0, context.drainingMs ?? 0);
    if (context.switches.fencingWait && waitedMs < permitExpiryBoundMs) {
        return refused("not-yet", version, "send permits granted before the drain may still be valid", {
            retryAfterMs: permitExpiryBoundMs - waitedMs,
        });
    }
    if (command.inFlight !== 0) {
        const count = command.inFlight === undefined ? "an unknown number of" : command.inFlight;
        return refused("not-yet", version, `${count} requests are in flight`);
    }
    return undefined;
}

/** Checks the preconditions of a hand-over step and returns its change, or a refusal. */
export function applyHandOver(command: HandOverCommand, context: HandOverContext): HandOverOutcome {
    const { kind, id, step } = command;
    const { configuration, openHandOver } = context;
    const item = findItem(configuration, kind, id);
    if (item === undefined) {
        const result = refused("not-found", configuration.version, `${kind} "${id}" is not in the configuration`);
        return { accepted: false, result };
    }
    if (openHandOver?.step !== requiredPreviousStep[step]) {
        const message = `${kind} "${id}" is at hand-over step ${openHandOver?.step ?? "none"}; ${step} requires ${
            requiredPreviousStep[step] ?? "none"
        }`;
        return { accepted: false, result: refused("wrong-step", configuration.version, message) };
    }
    const refusal = step === "released" ? releaseRefusal(command, context) : undefined;
    if (refusal !== undefined) {
        return { accepted: false, result: refusal };
    }
    if (step === "transferred") {
        return { accepted: true, change: transferChange(configuration, kind, id), next: undefined };
    }
    // An item that was drained before its hand-over stays `draining`, since a lifecycle state never reverts.
    const keepsLifecycle = item.lifecycle === step || (step === "planned" && item.lifecycle === "draining");
    const change = keepsLifecycle ? undefined : lifecycleChange(configuration, kind, id, step);
    return { accepted: true, change, next: { kind, id, step } };
}
