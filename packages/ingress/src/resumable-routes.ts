import type { Catalog } from "@lentilramp/catalog";

/** Whether callers may take up streams of a service; before the first catalog, they may. */
export function hasResumableRoute(service: string, catalog: Catalog | undefined): boolean {
    return catalog === undefined
        || catalog.routes.some(({ execution, resumable, targets }) =>
            execution === "stream" && resumable && targets.some(target => target.service === service)
        );
}
