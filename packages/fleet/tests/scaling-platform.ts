import type { Endpoint, ReplicaOrder, ReplicaPlanner } from "@lentilramp/fleet";

/** Time until the list shows a change, in milliseconds. */
export const listLagMs = 500;

interface Replica {
    endpoint: Endpoint;
    readyFrom: number;
    goneFrom: number;
}

type Outcome = "accepted" | "refused" | "lost" | "unknown";

/** A platform that keeps the numbers of replicas that it is told. */
export class ScalingPlatform {
    private replicas: Replica[] = [];
    private targets = new Map<string, { failureDomain: string; reclaimable: boolean; count: number; }>();
    private number = 0;
    /** Domains without reclaimable replicas to supply. */
    readonly exhausted = new Set<string>();

    constructor(
        private readonly bootMs: number,
        /** Whether it releases ready replicas before those that are starting. */
        private readonly releasesOldest = true,
    ) {}

    install(failureDomain: string, count: number, reclaimable: boolean): void {
        this.targets.set(`${failureDomain}/${reclaimable}`, { failureDomain, reclaimable, count });
        this.add(failureDomain, count, reclaimable, -Infinity);
    }

    ready(now: number): Endpoint[] {
        return this.replicas.filter(({ readyFrom, goneFrom }) => readyFrom <= now && now < goneFrom)
            .map(({ endpoint }) => endpoint);
    }

    listed(now: number): Endpoint[] {
        return this.ready(now - listLagMs);
    }

    /** Returns the listed endpoints that no order has released yet. */
    listedUnreleased(now: number): Endpoint[] {
        const staying = new Set(this.replicas.filter(({ goneFrom }) => goneFrom === Infinity).map(r => r.endpoint));
        return this.listed(now).filter(entry => staying.has(entry));
    }

    reclaim(failureDomain: string, now: number): void {
        for (const replica of this.replicas) {
            if (replica.endpoint.failureDomain === failureDomain && replica.endpoint.reclaimable) {
                replica.goneFrom = Math.min(replica.goneFrom, now);
            }
        }
    }

    /** Executes orders and tells the planner of the outcomes; `outcomeOf` may let a call fail. */
    execute(
        orders: readonly ReplicaOrder[],
        planner: ReplicaPlanner,
        now: number,
        outcomeOf: (order: ReplicaOrder) => Outcome | undefined = () => undefined,
    ): void {
        for (const order of orders) {
            const raises = order.count > this.present(order).length;
            const supplied = !(raises && order.reclaimable && this.exhausted.has(order.failureDomain));
            const outcome = outcomeOf(order) ?? (supplied ? "accepted" : "refused");
            if (outcome === "accepted" || outcome === "unknown") {
                this.targets.set(`${order.failureDomain}/${order.reclaimable}`, order);
                this.settle(now);
            }
            if (outcome === "accepted") {
                planner.recordAccepted(order);
            }
            else if (outcome === "refused") {
                planner.recordRefused(order, now);
            }
            else {
                planner.forgetOrder(order);
            }
        }
    }

    /** Starts and releases replicas until the numbers are as ordered. */
    settle(now: number): void {
        for (const target of this.targets.values()) {
            const present = this.present(target);
            present.slice(0, Math.max(0, present.length - target.count)).forEach(replica => replica.goneFrom = now);
            if (!(target.reclaimable && this.exhausted.has(target.failureDomain))) {
                this.add(
                    target.failureDomain,
                    target.count - present.length,
                    target.reclaimable,
                    now + this.bootMs,
                );
            }
        }
    }

    private present({ failureDomain, reclaimable }: { failureDomain: string; reclaimable: boolean; }): Replica[] {
        return this.replicas.filter(({ endpoint, goneFrom }) =>
            goneFrom === Infinity && endpoint.failureDomain === failureDomain && endpoint.reclaimable === reclaimable
        ).sort((a, b) => this.releasesOldest ? a.readyFrom - b.readyFrom : b.readyFrom - a.readyFrom);
    }

    private add(failureDomain: string, count: number, reclaimable: boolean, readyFrom: number): void {
        for (let i = 0; i < count; i++) {
            this.number++;
            const endpoint: Endpoint = {
                id: `r${this.number}`,
                service: "model",
                host: "10.0.0.1",
                port: 80,
                failureDomain,
                slots: 10,
                ready: true,
                reclaimable,
            };
            this.replicas.push({ endpoint, readyFrom, goneFrom: Infinity });
        }
    }
}
