import { applyChange } from "../change/apply-change.ts";
import type { Change } from "../change/change.ts";
import { diffConfigurations } from "../change/diff.ts";
import { carryLifecycle } from "../rules/carry-lifecycle.ts";
import { checkClaimGenerations } from "../rules/check-claim-generations.ts";
import { checkReferences } from "../rules/check-references.ts";
import { checkRemovals } from "../rules/check-removals.ts";
import { checkTombstones } from "../rules/check-tombstones.ts";
import type { RuleSwitches } from "../rules/rule-switches.ts";
import type { Configuration } from "../schema/index.ts";
import { type CommandResult, refused } from "./command-result.ts";
import type { ProposeCommand } from "./command.ts";
import type { HandOverState } from "./state.ts";

export type ProposalOutcome = { accepted: true; change: Change | undefined; } | {
    accepted: false;
    result: CommandResult;
};

function proposedConfiguration(current: Configuration, command: ProposeCommand): Configuration {
    if (command.configuration !== undefined) {
        return command.configuration;
    }
    const { tombstones: ignored, ...upserts } = command.change?.upserts ?? {};
    void ignored;
    return applyChange(current, { ...command.change, upserts }, current.version);
}

/**
 * Checks a proposal against the current configuration and returns its change, or a refusal. The first proposal based on
 * the newest version wins; later ones with the same base version are refused with `conflict`.
 */
export function applyPropose(
    current: Configuration,
    handOvers: readonly HandOverState[],
    command: ProposeCommand,
    switches: RuleSwitches,
): ProposalOutcome {
    const { version } = current;
    if (switches.versionCheck && command.baseVersion !== version) {
        const baseExists = command.baseVersion < version;
        return {
            accepted: false,
            result: refused(
                "conflict",
                version,
                baseExists
                    ? `version ${command.baseVersion} was already changed by version ${command.baseVersion + 1}`
                    : `version ${command.baseVersion} does not exist; the newest is ${version}`,
                baseExists ? { winningVersion: command.baseVersion + 1 } : {},
            ),
        };
    }
    const proposed = carryLifecycle(current, proposedConfiguration(current, command));
    const problems = [
        ...checkReferences(proposed),
        ...(switches.tombstoneCheck ? checkTombstones(current, proposed) : []),
        ...checkRemovals(handOvers, proposed),
        ...checkClaimGenerations(current, proposed, command.time.at),
        ...(version > 0 && proposed.region !== current.region
            ? [`region "${current.region}" cannot be changed to "${proposed.region}"`]
            : []),
    ];
    if (problems.length > 0) {
        return { accepted: false, result: refused("invalid", version, problems.join("; ")) };
    }
    return { accepted: true, change: diffConfigurations(current, proposed) };
}
