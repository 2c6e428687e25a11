import type { Catalog, CatalogRoute, CatalogWorkspace } from "@lentilramp/catalog";

export function testRoute(overrides: Partial<CatalogRoute> = {}): CatalogRoute {
    return {
        name: "r",
        host: "desk.example",
        pathPrefix: "/",
        execution: "idempotent",
        resumable: false,
        timeoutMs: 3_000,
        firstByteTargetMs: 400,
        gapTargetMs: undefined,
        rank: 0,
        targets: [{ service: "app", weight: 1 }],
        maxAttempts: 2,
        public: false,
        ...overrides,
    };
}

export function testWorkspace(overrides: Partial<CatalogWorkspace> = {}): CatalogWorkspace {
    return {
        name: "w",
        keys: ["key-1"],
        rank: undefined,
        capPerSecond: 0,
        capBurst: 0,
        countsTokens: false,
        defaultTokens: 1,
        ...overrides,
    };
}

export function testCatalog(overrides: Partial<Catalog> = {}): Catalog {
    return {
        version: 1,
        routes: [testRoute()],
        services: new Map([
            ["app", { name: "app", connectionLimit: 96, engine: undefined, scaling: undefined }],
            ["model", {
                name: "model",
                connectionLimit: 96,
                engine: { slots: 4, kvCacheTokens: 10_000 },
                scaling: undefined,
            }],
        ]),
        workspaces: [testWorkspace()],
        limits: { maxBodyBytes: 1_000_000, idleTimeoutMs: 15_000 },
        ...overrides,
    };
}
