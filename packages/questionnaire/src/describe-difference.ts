import type { Configuration } from "@lentilramp/configuration";

type Item = Readonly<Record<string, unknown>>;

const lists = {
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

function identify(item: Item): string {
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
    const old = new Map(before.map(item => [identify(item), item]));
    const current = new Map(after.map(item => [identify(item), item]));
    return [
        ...[...old.keys()].filter(id => !current.has(id)).map(id => `- ${label} ${id}`),
        ...[...current].flatMap(([id, item]) => {
            const earlier = old.get(id);
            if (earlier === undefined) {
                return [`+ ${label} ${id}`];
            }
            const fields = changedFields(earlier, item);
            return fields.length > 0 ? [`~ ${label} ${id}: ${fields.join(", ")}`] : [];
        }),
    ];
}

/** Describes what changes from `before` to `after`, one line an item: "+" added, "-" removed, "~" changed. */
export function describeDifference(before: Configuration, after: Configuration): string[] {
    const scalars = (["region", "costWeight"] as const)
        .filter(key => before[key] !== after[key])
        .map(key => `~ ${key} ${String(before[key])} -> ${String(after[key])}`);
    const items = Object.entries(lists).flatMap(([key, label]) =>
        compareLists(label, before[key as keyof typeof lists], after[key as keyof typeof lists])
    );
    return [...scalars, ...items];
}
