import { type IngressDescription, selectLookupIngresses } from "@lentilramp/fleet";
import type { RpcClient } from "@lentilramp/protocol";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { leaderAddress } from "./leader-address.ts";
import { errorMessage, type StewardCore, type SubmitOutcome } from "./steward-core.ts";
import { readAnswerSchema, submitAnswerSchema } from "./steward-methods.ts";

/** Timeout of a call, in milliseconds; operators wait about one second for an answer. */
const callTimeoutMs = 850;
/** Timeout of one attempt of a call, in milliseconds. */
const attemptTimeoutMs = 600;
/** Pause between two attempts, in milliseconds. */
const retryPauseMs = 40;

/** Operations for operators and callers; any steward can answer them. */
export class OperatorInterface {
    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly client: RpcClient,
    ) {}

    /** Stores a catalog; forwards it if another steward leads. */
    async submitCatalog(text: string): Promise<SubmitOutcome> {
        const checked = this.core.validateCatalog(text);
        if ("reason" in checked) {
            return { kind: "invalid", reason: checked.reason };
        }
        const outcome = await this.callLeader<SubmitOutcome>(
            async () => {
                const result = await this.core.storeCatalog(checked.version, text);
                return result.kind === "unavailable" ? undefined : result;
            },
            async (leader, deadline) => {
                const result = await this.client.call(leader, "catalog.submit", { text }, submitAnswerSchema, deadline);
                return result.kind === "unavailable" ? undefined : result;
            },
        );
        return outcome ?? { kind: "unavailable", reason: "no member leads" };
    }

    /** Returns the newest catalog as it was submitted; undefined if no leader can confirm one now. */
    async readCatalog(): Promise<string | undefined> {
        return await this.callLeader<string>(
            async () => (await this.core.readCatalog())?.text,
            async (leader, deadline) => {
                const answer = await this.client.call(leader, "catalog.read", {}, readAnswerSchema, deadline);
                return answer.confirmed ? answer.text : undefined;
            },
        );
    }

    /**
     * Returns at most `maxCount` ingresses to which callers may connect; one that reaches no endpoint is named only if no
     * other one does.
     */
    lookUpIngresses(maxCount: number): readonly IngressDescription[] {
        const accepting = this.coordinator.roster.accepting();
        const reaching = accepting.filter(({ reachesEndpoints }) => reachesEndpoints !== false);
        return selectLookupIngresses(reaching.length > 0 ? reaching : accepting, maxCount);
    }

    /** Runs an operation at the leader, here or by a remote call, and retries until the timeout of the call. */
    private async callLeader<T>(
        runLocally: () => Promise<T | undefined>,
        runRemotely: (leader: { host: string; port: number; }, deadline: number) => Promise<T | undefined>,
    ): Promise<T | undefined> {
        const { clock, log } = this.core;
        const callDeadline = clock.now() + callTimeoutMs;
        while (clock.now() < callDeadline) {
            try {
                const leader = leaderAddress(this.core.driver);
                const result = this.core.state.isLeader
                    ? await runLocally()
                    : leader === undefined
                    ? undefined
                    : await runRemotely(leader, Math.min(callDeadline, clock.now() + attemptTimeoutMs));
                if (result !== undefined) {
                    return result;
                }
            }
            catch (err) {
                log.debug("operator.call-retried", { reason: errorMessage(err) });
            }
            await clock.sleepUntil(clock.now() + retryPauseMs);
        }
        return undefined;
    }
}
