import type { Catalog, CatalogWorkspace } from "./catalog.ts";

/** Maps API keys to workspaces. */
export class WorkspaceKeys {
    private readonly byKey = new Map<string, CatalogWorkspace>();

    constructor(catalog: Catalog) {
        for (const workspace of catalog.workspaces) {
            for (const key of workspace.keys) {
                this.byKey.set(key, workspace);
            }
        }
    }

    find(key: string | undefined): CatalogWorkspace | undefined {
        return key === undefined ? undefined : this.byKey.get(key);
    }
}
