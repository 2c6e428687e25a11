import type { SeededRandom } from "@lentilramp/runtime";
import type { CallKind } from "../soak/promises.ts";

export const services = ["app", "model", "back"] as const;
export const host = "calm.example";
export const maxBodyBytes = 262_144;
/** Kinds of request that the calm run sends. */
export type CalmKind = Exclude<CallKind, "long">;

export interface CalmRoute {
    name: string;
    kind: CalmKind;
    timeoutMs: number;
    /** Services with their weights. */
    targets: { service: string; weight: number; }[];
}

interface Workspace {
    name: string;
    keys: string[];
    /** Requests per second; 0 means no limit. */
    cap: number;
}

/** One version of the configuration, and when it was sent and confirmed. */
export interface Version {
    number: number;
    body: string;
    what: string;
    idleMs: number;
    timeouts: ReadonlyMap<string, number>;
    /** Services to which each route leads, and the workspace of each key. */
    services: ReadonlyMap<string, ReadonlySet<string>>;
    workspaces: ReadonlyMap<string, string>;
    sentAt: number;
    confirmedAt: number | undefined;
}

/** Time limits of the routes: at first, and the range from which changes take them, in milliseconds. */
export interface Timeouts {
    firstMs: number;
    leastMs: number;
    mostMs: number;
}

export const kinds: readonly CalmKind[] = ["safe", "unsafe", "stream", "once"];
const routesPerKind = 3;
const manyRoutes = 350;
/** Goal of all routes, in milliseconds; above the longest pause, so that pauses are no reason to refuse. */
const targetLatencyMs = 5_000;
const minIdleMs = 2_000;
const maxIdleMs = 15_000;
/** Share of the versions that carry many more routes than the others. */
const largeShare = 0.08;

/** The configuration of a run, which changes in another way with each version. */
export class CalmCatalog {
    readonly versions: Version[] = [];
    idleMs = maxIdleMs;
    private readonly base: CalmRoute[];
    private readonly added: CalmRoute[] = [];
    private readonly workspaces: Workspace[] = [
        { name: "w", keys: ["key-w"], cap: 0 },
        { name: "v", keys: ["key-v"], cap: 0 },
        { name: "capped", keys: ["key-capped"], cap: 8 },
    ];
    private nextName = 0;

    /** Routes that were dropped, the newest last. */
    readonly dropped: CalmRoute[] = [];

    constructor(private readonly random: SeededRandom, private readonly timeouts: Timeouts) {
        this.base = kinds.flatMap(kind =>
            Array.from({ length: routesPerKind }, (...[, i]): CalmRoute => ({
                name: `${kind}-${i}`,
                kind,
                timeoutMs: timeouts.firstMs,
                targets: [{ service: services[i % services.length] ?? "app", weight: 1 }],
            }))
        );
    }

    /** Routes that requests may use now. */
    get routes(): readonly CalmRoute[] {
        return [...this.base, ...this.added];
    }

    /** Routes that were added or dropped last, and one that never was; what they get shows which version is in force. */
    get changedRoutes(): readonly CalmRoute[] {
        return [
            ...this.added.slice(-1),
            ...this.dropped.slice(-1),
            { name: "never", kind: "safe", timeoutMs: this.timeouts.firstMs, targets: [] },
        ];
    }

    /** A workspace and one of its keys. */
    pickKey(random: SeededRandom): { workspace: string; key: string; } {
        const { name, keys } = this.workspaces[random.nextInt(this.workspaces.length)]
            ?? { name: "w", keys: ["key-w"] };
        return { workspace: name, key: keys[random.nextInt(keys.length)] ?? "key-w" };
    }

    /** Shortest and longest time limit of a route in the versions that may be in force in a span, in milliseconds. */
    limitsOf(route: string, from: number, until: number, applyMs: number): { least: number; most: number; } {
        const settled = this.versions.findLastIndex(({ confirmedAt }) => (confirmedAt ?? Infinity) + applyMs <= from);
        const limits = this.versions.slice(Math.max(0, settled)).filter(({ sentAt }) => sentAt <= until)
            .map(({ timeouts }) => timeouts.get(route)).filter(ms => ms !== undefined);
        return { least: Math.min(...limits, Infinity), most: Math.max(...limits, 0) || Infinity };
    }

    /** Longest time for which a caller may keep a connection idle by the newest version, in milliseconds. */
    get newestIdleMs(): number {
        return this.versions.findLast(({ confirmedAt }) => confirmedAt !== undefined)?.idleMs ?? minIdleMs;
    }

    /** A configuration that must be refused: one of its routes leads to a service that it does not have. */
    invalid(): string {
        const number = (this.versions.at(-1)?.number ?? 0) + 1;
        const content = JSON.parse(this.body(number, false)) as { routes: Record<string, unknown>[]; };
        content.routes = content.routes.map((route, i) => i === 0 ? { ...route, service: "unknown" } : route);
        return JSON.stringify(content);
    }

    /** The next version; each one differs from the one before in one thing. */
    next(): Version {
        const number = (this.versions.at(-1)?.number ?? 0) + 1 + this.random.nextInt(3);
        const what = this.versions.length === 0 ? "first" : this.change();
        const large = this.versions.length > 0 && this.random.next() < largeShare;
        const version: Version = {
            number,
            body: this.body(number, large),
            what: `${what}${large ? " large" : ""}`,
            idleMs: this.idleMs,
            timeouts: new Map(this.routes.map(({ name, timeoutMs }) => [name, timeoutMs])),
            services: new Map(
                this.routes.map(({ name, targets }) => [name, new Set(targets.map(({ service }) => service))]),
            ),
            workspaces: new Map(this.workspaces.flatMap(({ name, keys }) => keys.map(key => [key, name] as const))),
            sentAt: Date.now(),
            confirmedAt: undefined,
        };
        this.versions.push(version);
        return version;
    }

    private pick<T>(items: readonly T[]): T | undefined {
        return items[this.random.nextInt(items.length)];
    }

    private change(): string {
        const changes: (() => string)[] = [
            () => this.changeTimeout(),
            () => this.changeTimeout(),
            () => `idle=${this.idleMs = Math.round(minIdleMs + this.random.next() * (maxIdleMs - minIdleMs))}`,
            () => `idle=${this.idleMs = minIdleMs}`,
            () => this.changeKeys(),
            () => this.changeRoutes(),
            () => this.moveRoute(),
            () => this.moveRoute(),
            () => this.changeCap(),
        ];
        return (this.pick(changes) ?? (() => "nothing"))();
    }

    private changeTimeout(): string {
        const route = this.pick(this.routes);
        if (route === undefined) {
            return "nothing";
        }
        const { leastMs, mostMs } = this.timeouts;
        route.timeoutMs = Math.round(leastMs + this.random.next() * (mostMs - leastMs));
        return `timeout=${route.name}:${route.timeoutMs}`;
    }

    private changeKeys(): string {
        const workspace = this.pick(this.workspaces);
        if (this.random.next() < 0.3) {
            const name = `t${this.nextName++}`;
            this.workspaces.push({ name, keys: [`key-${name}`], cap: 0 });
            return `tenant-added=${name}`;
        }
        if (this.workspaces.length > 5) {
            return `tenant-dropped=${this.workspaces.splice(3, 1)[0]?.name}`;
        }
        if (workspace !== undefined && workspace.keys.length > 1) {
            return `key-dropped=${workspace.keys.pop()}`;
        }
        workspace?.keys.push(`key-${workspace.name}-${this.nextName}`);
        return `key-added=${workspace?.name}-${this.nextName++}`;
    }

    private changeRoutes(): string {
        if (this.added.length > 3) {
            this.dropped.push(...this.added.splice(0, 1));
            return `route-dropped=${this.dropped.at(-1)?.name}`;
        }
        const kind = this.pick(kinds) ?? "safe";
        const name = `${kind}-x${this.nextName++}`;
        this.added.push({
            name,
            kind,
            timeoutMs: this.timeouts.firstMs,
            targets: [{ service: this.pick(services) ?? "app", weight: 1 }],
        });
        return `route-added=${name}`;
    }

    private moveRoute(): string {
        const route = this.pick(this.routes);
        if (route === undefined) {
            return "nothing";
        }
        const split = this.random.next() < 0.5 ? 2 : 1;
        route.targets = this.random.sample(services, split)
            .map(service => ({ service, weight: 1 + this.random.nextInt(9) }));
        return `moved=${route.name}:${route.targets.map(({ service, weight }) => `${service}*${weight}`).join("+")}`;
    }

    private changeCap(): string {
        const workspace = this.workspaces[2];
        if (workspace === undefined) {
            return "nothing";
        }
        workspace.cap = 2 + this.random.nextInt(20);
        return `cap=${workspace.cap}`;
    }

    private body(number: number, large: boolean): string {
        const filler = Array.from({ length: large ? manyRoutes : 0 }, (...[, i]): CalmRoute => ({
            name: `filler-${i}`,
            kind: "safe",
            timeoutMs: 3_000 + i,
            targets: [{ service: "app", weight: 1 }],
        }));
        return JSON.stringify({
            version: number,
            routes: [...this.routes, ...filler].map(({ name, kind, timeoutMs, targets }) => ({
                name,
                host,
                path_prefix: `/${name}/`,
                kind: kind === "stream" || kind === "once" ? "streaming" : kind,
                timeout_ms: timeoutMs,
                target_latency_ms: targetLatencyMs,
                priority: 0,
                ...targets.length === 1 ? { service: targets[0]?.service } : { traffic_split: targets },
                max_attempts: kind === "unsafe" || kind === "once" ? 1 : 2,
                public: false,
                ...kind === "stream" || kind === "once" ? { resumable: kind === "stream", gap_target_ms: 300 } : {},
            })),
            services: services.map(name => ({ name, health_check_path: "/h", connection_limit: 400 })),
            limits: {
                max_header_bytes: 16_384,
                max_body_bytes: maxBodyBytes,
                header_timeout_ms: 3_000,
                idle_timeout_ms: this.idleMs,
            },
            tenants: this.workspaces.map(({ name, keys, cap }) => ({
                name,
                api_keys: keys,
                priority: 0,
                rate_per_s: cap,
                burst: cap,
            })),
        });
    }
}
