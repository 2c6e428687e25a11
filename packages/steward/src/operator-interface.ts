import { type IngressDescription, selectLookupIngresses } from "@lentilramp/fleet";
import type { RpcClient } from "@lentilramp/protocol";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { errorMessage, type StewardCore, type SubmitOutcome } from "./steward-core.ts";
import { leaderAddress, readAnswerSchema, submitAnswerSchema } from "./steward-methods.ts";

/** An operator waits about a second for an answer; a call is given up a little earlier, in milliseconds. */
const patienceMs = 850;
/** Longest part of a call spent on one attempt, in milliseconds. */
const attemptMs = 600;
/** Pause before the leader is looked for again, in milliseconds. */
const pauseMs = 40;

/** What operators and callers ask of a steward, whichever steward they ask. */
export class OperatorInterface {
    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly client: RpcClient,
    ) {}

    /** Stores a catalog; passes it to the leader when another member leads. */
    async submitCatalog(text: string): Promise<SubmitOutcome> {
        const checked = this.core.validateCatalog(text);
        if ("reason" in checked) {
            return { kind: "invalid", reason: checked.reason };
        }
        const outcome = await this.atLeader<SubmitOutcome>(
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

    /** The newest catalog as it was sent, or undefined when this cannot be known now. */
    async readCatalog(): Promise<string | undefined> {
        return await this.atLeader<string>(
            async () => (await this.core.readCatalog())?.text,
            async (leader, deadline) => {
                const answer = await this.client.call(leader, "catalog.read", {}, readAnswerSchema, deadline);
                return answer.confirmed ? answer.text : undefined;
            },
        );
    }

    /** Ingresses to which callers may connect, at most `most`. */
    lookUpIngresses(most: number): readonly IngressDescription[] {
        return selectLookupIngresses(this.coordinator.roster.accepting(), most);
    }

    private async atLeader<T>(
        here: () => Promise<T | undefined>,
        there: (leader: { host: string; port: number; }, deadline: number) => Promise<T | undefined>,
    ): Promise<T | undefined> {
        const { clock, log } = this.core;
        const until = clock.now() + patienceMs;
        while (clock.now() < until) {
            try {
                const leader = leaderAddress(this.core);
                const result = this.core.state.isLeader
                    ? await here()
                    : leader === undefined
                    ? undefined
                    : await there(leader, Math.min(until, clock.now() + attemptMs));
                if (result !== undefined) {
                    return result;
                }
            }
            catch (err) {
                log.debug("operator.call-retried", { reason: errorMessage(err) });
            }
            await clock.sleepUntil(clock.now() + pauseMs);
        }
        return undefined;
    }
}
