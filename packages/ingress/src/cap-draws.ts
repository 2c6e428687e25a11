import type { CatalogWorkspace } from "@lentilramp/catalog";
import type { CapMeter, CapVerdict } from "@lentilramp/fleet";
import type { PeerAddress, RpcClient } from "@lentilramp/protocol";
import type { Clock, EventLog } from "@lentilramp/runtime";
import { drawAnswerSchema } from "./fleet-messages.ts";

/** Longest time that a request waits for an answer of the steward, in milliseconds; a round trip takes up to 10. */
const drawMs = 120;
/** Pause after a draw without an answer, in milliseconds, so that requests are refused at once while nobody leads. */
const failurePauseMs = 400;
/** After a refusal the workspace is not asked for again for at most this long, in milliseconds. */
const maxRefusalMs = 100;

/** Uses the own part of a workspace's cap and, where that is used up, draws on the part that the steward keeps. */
export class CapDraws {
    private pausedUntil = -Infinity;
    private readonly refusedUntil = new Map<string, { until: number; units: number; retryAt: number; }>();

    constructor(
        private readonly meter: CapMeter,
        private readonly client: RpcClient,
        /** The leading steward, while there is contact with it. */
        private readonly leader: () => PeerAddress | undefined,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    async use(workspace: CatalogWorkspace, units: number): Promise<CapVerdict> {
        const now = this.clock.now();
        const own = this.meter.tryUse(workspace, units, now);
        const leader = this.leader();
        if (own.admitted || leader === undefined || now < this.pausedUntil) {
            return own;
        }
        const refused = this.refusedUntil.get(workspace.name);
        if (refused !== undefined && now < refused.until && units >= refused.units) {
            return { admitted: false, retryAt: Math.min(own.retryAt, refused.retryAt) };
        }
        try {
            const params = { workspace: workspace.name, units };
            const answer = await this.client.call(leader, "caps.draw", params, drawAnswerSchema, now + drawMs);
            if (answer.admitted) {
                return { admitted: true };
            }
            const retryAt = now + (answer.retryMs ?? maxRefusalMs);
            this.refusedUntil.set(workspace.name, { until: Math.min(retryAt, now + maxRefusalMs), units, retryAt });
            return { admitted: false, retryAt: Math.min(own.retryAt, retryAt) };
        }
        catch (err) {
            this.pausedUntil = this.clock.now() + failurePauseMs;
            this.log.info("caps.draw-failed", { workspace: workspace.name, error: String(err) });
            return own;
        }
    }
}
