import { type PeerAddress, type RpcClient, RpcError } from "@lentilramp/protocol";
import { renewAnswerSchema, renewMethod, type RenewRequest } from "@lentilramp/rollouts";
import { type Clock, type EventLog, PeriodicComponent } from "@lentilramp/runtime";
import type { VersionSplit } from "./version-split.ts";

/** Interval between checks whether a share has to be renewed, in milliseconds. */
const checkIntervalMs = 200;
/**
 * Time after which an unanswered call is given up, and the shortest time between two calls, in milliseconds. A second
 * call follows before the share ends.
 */
const callTimeoutMs = 600;

/** What an ingress tells the leader with a renewal, apart from what the split knows. */
export type RenewalContext = Pick<RenewRequest, "ingress" | "lifetime" | "load">;

/**
 * Renews the shares of new versions at the leader, in fleets whose syncs are further apart than shares hold. The calls
 * also bring the responses that this ingress has seen, which a verdict must not wait for.
 */
export class VersionRenewal extends PeriodicComponent {
    readonly name = "version-renewal";
    private failed = false;
    private lastSentAt = -Infinity;

    constructor(
        private readonly versions: VersionSplit,
        private readonly client: Pick<RpcClient, "call">,
        /** Returns the steward that answered the last sync; undefined before the first. */
        private readonly steward: () => PeerAddress | undefined,
        private readonly describe: () => RenewalContext,
        /** Asks for an early sync, which finds another leader. */
        private readonly requestSync: () => void,
        clock: Clock,
        private readonly log: EventLog,
    ) {
        super(clock, checkIntervalMs);
    }

    protected override async runOnce(): Promise<void> {
        const { versions } = this;
        const sentAt = this.clock.now();
        const rolloutResults = versions.reports();
        const steward = this.steward();
        const dueAt = Math.max(versions.renewAt, this.lastSentAt + callTimeoutMs);
        if (sentAt < dueAt || rolloutResults === undefined || steward === undefined) {
            return;
        }
        this.lastSentAt = sentAt;
        const req: RenewRequest = { ...this.describe(), rolloutResults, rolloutRevision: versions.knownRevision };
        const answer = await this.client.call(steward, renewMethod, req, renewAnswerSchema, sentAt + callTimeoutMs);
        if (!answer.leading) {
            this.requestSync();
            return;
        }
        this.failed = false;
        versions.apply(answer, sentAt);
        versions.acknowledge(rolloutResults);
    }

    protected override onFailure(err: unknown): void {
        if (!this.failed) {
            this.failed = true;
            this.log.info("rollout.not-renewed", { reason: err instanceof RpcError ? err.message : String(err) });
        }
        this.requestSync();
    }
}
