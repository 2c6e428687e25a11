import type { Catalog } from "@lentilramp/catalog";

/**
 * Returns the longest time that the routes to each service allow an attempt at a stream that can be taken up, in
 * milliseconds. A target counts whatever its weight, which a change of the catalog may raise.
 */
export function attemptLives(catalog: Catalog | undefined): ReadonlyMap<string, number> {
    const lives = new Map<string, number>();
    for (const { execution, resumable, targets, timeoutMs } of catalog?.routes ?? []) {
        if (execution === "stream" && resumable) {
            targets.forEach(({ service }) => lives.set(service, Math.max(lives.get(service) ?? 0, timeoutMs)));
        }
    }
    return lives;
}
