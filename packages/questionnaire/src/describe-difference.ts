import type { Configuration } from "@lentilramp/configuration";

type Item = Readonly<Record<string, unknown>>;

const listLabels = {
    endpoints: "endpoint",
    services: "service",
    models: "model",
    workspaces: "workspace",
    routes: "route",
    entries: "entry",
    controlMembers: "control member",
    failureDomains: "failure domain",
    links: "link",
} as const;

function identifierOf(item: Item): string {
    const id = item.id ?? item.name;
    return typeof id === "string" ? id : `${String(item.from)} to ${String(item.to)}`;
}

function changedFields(before: Item, after: Item): string[] {
    return [...new Set([...Object.keys(before), ...Object.keys(after)])].sort().flatMap(key => {
        const from = JSON.stringify(before[key]);
        const to = JSON.stringify(after[key]);
        return from === to ? [] : [`${key} ${from ?? "unset"} -> ${to ?? "unset"}`];
    });
}

function compareLists(label: string, before: readonly Item[], after: readonly Item[]): string[] {
    const oldItems = new Map(before.map(item => [identifierOf(item), item]));
    const newItems = new Map(after.map(item => [identifierOf(item), item]));
    return [
        ...[...oldItems.keys()].filter(id => !newItems.has(id)).map(id => `- ${label} ${id}`),
        ...[...newItems].flatMap(([id, item]) => {
            const oldItem = oldItems.get(id);
            if (oldItem === undefined) {
                return [`+ ${label} ${id}`];
            }
            const fields = changedFields(oldItem, item);
            return fields.length > 0 ? [`~ ${label} ${id}: ${fields.join(", ")}`] : [];
        }),
    ];
}

/** Lists the differences between `before` and `after`, one item per line: "+" added, "-" removed, "~" changed. */
export function describeDifference(before: Configuration, after: Configuration): string[] {
    const scalars = (["region", "costWeight"] as const)
        .filter(key => before[key] !== after[key])
        .map(key => `~ ${key} ${String(before[key])} -> ${String(after[key])}`);
    const items = Object.entries(listLabels).flatMap(([key, label]) =>
        compareLists(label, before[key as keyof typeof listLabels], after[key as keyof typeof listLabels])
    );
    return [...scalars, ...items];
}
