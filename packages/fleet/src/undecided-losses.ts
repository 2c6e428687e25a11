import type { EndpointLifetime } from "./endpoint-directory.ts";

interface UndecidedLoss {
    lifetime: EndpointLifetime;
    request: string;
    at: number;
}

/**
 * Attempts that ended before their answer had begun, while it is not known yet whether the endpoint has crashed. They are
 * as many as probes are open, which end within the probe timeout.
 */
export class UndecidedLosses {
    private readonly losses = new Set<UndecidedLoss>();

    /** Records a loss at the instant `at`; returns the function that ends it when its cause is known. */
    record({ id, startedAt }: EndpointLifetime, request: string, at: number): () => void {
        const loss = { lifetime: { id, startedAt }, request, at };
        this.losses.add(loss);
        return () => this.losses.delete(loss);
    }

    /** Counts the lifetimes at which a request was lost since the instant `begunAt`, except those that `isCounted` names. */
    count(request: string, begunAt: number, isCounted: (lifetime: EndpointLifetime) => boolean): number {
        const lifetimes = new Set<string>();
        for (const loss of this.losses) {
            if (loss.request === request && loss.at >= begunAt && !isCounted(loss.lifetime)) {
                lifetimes.add(`${loss.lifetime.id} ${loss.lifetime.startedAt ?? ""}`);
            }
        }
        return lifetimes.size;
    }
}
