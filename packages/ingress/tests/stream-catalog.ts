import type { Catalog, CatalogRoute } from "@lentilramp/catalog";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";

/** Target gap of the route between events, in milliseconds; another engine is asked after five times this. */
const gapTargetMs = 60;

/** Returns a catalog with a route of streams that another engine may resume. */
export function streamCatalog(route: Partial<CatalogRoute>): Catalog {
    const engine = { slots: 4, kvCacheTokens: 10_000 };
    return testCatalog({
        routes: [testRoute({ execution: "stream", resumable: true, gapTargetMs, ...route })],
        services: new Map([["app", { name: "app", connectionLimit: 96, engine, scaling: undefined }]]),
    });
}
