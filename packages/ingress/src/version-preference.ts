import { allowedOf, maxWholeChoiceDefault } from "@lentilramp/dispatch";
import { type Endpoint, versionOf } from "@lentilramp/fleet";
import type { ServiceCandidates } from "./endpoint-candidates.ts";
import type { FleetView } from "./fleet-view.ts";
import type { RequestVersions } from "./version-split.ts";

interface VersionDecision {
    kind: string;
    /** The endpoint that a request is sent to. */
    choice?: { endpoint: Endpoint; };
}

/**
 * Decides among the endpoints of the versions that a request prefers, and among all usable ones if none of these can be
 * sent to: they may have been ejected, or be too slow for the request.
 */
export function decideByVersion<D extends VersionDecision>(
    usable: ServiceCandidates,
    versions: Pick<RequestVersions, "prefer" | "preferredVersion"> | undefined,
    loads: Pick<FleetView["loads"], "load">,
    now: number,
    decide: (candidates: ServiceCandidates) => D,
): D {
    const hasFreeSlot = ({ id, slots }: Endpoint): boolean => loads.load(id, now).running < slots;
    if (usable.list.length <= maxWholeChoiceDefault) {
        const all = allowedOf(usable);
        const preferred = versions?.prefer(all, hasFreeSlot) ?? all;
        const first = decide(usable.among(preferred));
        return first.kind === "send" || preferred.length === all.length ? first : decide(usable.among(all));
    }
    return decideAmongMany(usable, versions?.preferredVersion, hasFreeSlot, decide);
}

/**
 * Decides among many endpoints. If those of the preferred version are many too, they are not searched for a free slot: the
 * decision among them counts if the endpoint that it chooses has one.
 */
function decideAmongMany<D extends VersionDecision>(
    usable: ServiceCandidates,
    version: string | undefined,
    hasFreeSlot: (endpoint: Endpoint) => boolean,
    decide: (candidates: ServiceCandidates) => D,
): D {
    if (version !== undefined) {
        const preferred = usable.ofVersions(endpoint => versionOf(endpoint) === version);
        const areMany = preferred.list.length > maxWholeChoiceDefault;
        if (preferred.list !== usable.list && (areMany || allowedOf(preferred).some(hasFreeSlot))) {
            const first = decide(preferred);
            if (
                first.kind === "send" && (!areMany || first.choice !== undefined && hasFreeSlot(first.choice.endpoint))
            ) {
                return first;
            }
        }
    }
    return decide(usable);
}
