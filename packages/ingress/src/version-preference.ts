import type { Endpoint } from "@lentilramp/fleet";
import type { FleetView } from "./fleet-view.ts";
import type { RequestVersions } from "./version-split.ts";

/**
 * Decides among the endpoints of the versions that a request prefers, and among all usable ones if none of these can be
 * sent to: they may have been ejected, or be too slow for the request.
 */
export function decideByVersion<D extends { kind: string; }>(
    usable: readonly Endpoint[],
    versions: Pick<RequestVersions, "prefer"> | undefined,
    loads: Pick<FleetView["loads"], "load">,
    now: number,
    decide: (candidates: readonly Endpoint[]) => D,
): D {
    const hasFreeSlot = ({ id, slots }: Endpoint): boolean => loads.load(id, now).running < slots;
    const preferred = versions?.prefer(usable, hasFreeSlot) ?? usable;
    const first = decide(preferred);
    return first.kind === "send" || preferred.length === usable.length ? first : decide(usable);
}
