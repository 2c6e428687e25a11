import type { CatalogWorkspace } from "@lentilramp/catalog";
import { capSlack, type CapTolerance, type CapVerdict } from "./cap-meter.ts";

/** Part of each cap that no ingress holds, so that it serves a clump of requests wherever that arrives. */
export const capPoolPart = 0.4;

/**
 * The part of each workspace's cap that the leading steward gives out request by request. Split over many ingresses, a
 * small cap is less than one large request in each of them; in one place it is not.
 */
export class CapPool {
    private readonly levels = new Map<string, { units: number; filledAt: number; }>();

    constructor(private readonly tolerance: CapTolerance, private startedAt: number) {}

    /** Starts empty: what the leader before has given out is not known. */
    restart(now: number): void {
        this.startedAt = now;
        this.levels.clear();
    }

    /** Takes `units` for one request. A request larger than the whole pool needs a full one and leaves a debt. */
    draw(workspace: CatalogWorkspace, units: number, now: number): CapVerdict {
        const rate = workspace.capPerSecond * capPoolPart / 1_000;
        const size = (workspace.capBurst + capSlack(workspace, this.tolerance)) * capPoolPart;
        const last = this.levels.get(workspace.name) ?? { units: 0, filledAt: this.startedAt };
        const level = Math.min(size, last.units + (now - last.filledAt) * rate);
        const admitted = size > 0 && level >= Math.min(units, size);
        this.levels.set(workspace.name, { units: admitted ? level - units : level, filledAt: now });
        return admitted
            ? { admitted }
            : { admitted, retryAt: rate > 0 ? now + (Math.min(units, size) - level) / rate : Infinity };
    }
}
