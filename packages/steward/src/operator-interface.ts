import { type IngressDescription, isWeighted, selectLookupIngresses } from "@lentilramp/fleet";
import type { RpcClient } from "@lentilramp/protocol";
import { type OrderOutcome, orderOutcomeSchema, type RolloutOrder, type RolloutStatus } from "@lentilramp/rollouts";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { leaderAddress } from "./leader-address.ts";
import { type RolloutOrders, rolloutReadAnswerSchema } from "./rollout-orders.ts";
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
    private weightedLookups = false;

    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly client: RpcClient,
        /** Undefined if the deployment does not roll versions out. */
        private readonly rollouts?: RolloutOrders,
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

    /** Stores an order for a roll-out; forwards it if another steward leads. */
    async orderRollout(order: RolloutOrder): Promise<OrderOutcome> {
        const outcome = await this.callLeader<OrderOutcome>(
            async () => {
                const result = await this.rollouts?.submit(order);
                return result?.kind === "unavailable" ? undefined : result;
            },
            async (leader, deadline) => {
                const result = await this.client.call(leader, "rollouts.order", order, orderOutcomeSchema, deadline);
                return result.kind === "unavailable" ? undefined : result;
            },
        );
        return outcome ?? { kind: "unavailable", reason: "no member leads that takes orders" };
    }

    /** Returns the state of the last roll-out of a service; undefined if no leader can confirm it now. */
    async readRollout(service: string): Promise<{ status: RolloutStatus | undefined; } | undefined> {
        return await this.callLeader<{ status: RolloutStatus | undefined; }>(
            async () => this.rollouts && { status: await this.rollouts.read(service) },
            async (leader, deadline) => {
                const params = { service };
                const answer = await this.client.call(
                    leader,
                    "rollouts.read",
                    params,
                    rolloutReadAnswerSchema,
                    deadline,
                );
                return answer.confirmed ? { status: answer.status } : undefined;
            },
        );
    }

    /**
     * Returns at most `maxCount` ingresses to which callers may connect; one that reaches no endpoint is named only if no
     * other one does. `caller` is the address that the lookup came from.
     */
    lookUpIngresses(maxCount: number, caller?: string): readonly IngressDescription[] {
        const accepting = this.coordinator.roster.accepting();
        const reaching = accepting.filter(({ reachesEndpoints }) => reachesEndpoints !== false);
        const usable = reaching.length > 0 ? reaching : accepting;
        this.logSelection(usable);
        return selectLookupIngresses(usable, maxCount, caller);
    }

    /** Logs that lookups are answered by capacity from now on, or no longer. */
    private logSelection(usable: readonly IngressDescription[]): void {
        const weighted = isWeighted(usable);
        if (weighted !== this.weightedLookups) {
            this.weightedLookups = weighted;
            const capacities = usable.flatMap(({ capacity }) => capacity ?? []);
            const hasAny = capacities.length > 0;
            this.core.log.info(weighted ? "lookups.weighted" : "lookups.even", {
                ingresses: usable.length,
                unknown: usable.length - capacities.length,
                smallest: hasAny ? Math.min(...capacities) : undefined,
                largest: hasAny ? Math.max(...capacities) : undefined,
            });
        }
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
