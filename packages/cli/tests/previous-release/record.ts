import type * as StewardMethods from "@lentilramp/steward";
import { cac } from "cac";
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { CrashingEndpoint } from "../crashing-endpoint.ts";
import { exchange, FleetProcesses, PlatformStandIn, ports, until } from "../fleet-harness.ts";
import { builtProgram } from "../soak/mixed-builds.ts";
import { SoakEndpoint } from "../soak/soak-endpoint.ts";
import {
    type JsonSchema,
    methodSchemas,
    type RecordedMessages,
    type RecordedSchemas,
    type RecordedState,
} from "./recorded.ts";

// Records what the processes of a built checkout send to each other and store, as fixtures of previous-release.test.ts:
// npx tsx packages/cli/tests/previous-release/record.ts --build FOLDER --out packages/cli/tests/previous-release/generated

const cli = cac("record");
cli.option("--build <folder>", "Checkout that was built by scripts/build-fleet.mjs");
cli.option("--out <folder>", "Folder of the fixtures");
const { options } = cli.parse();
const build = resolve(String(options.build));
const out = resolve(String(options.out));
const deadlyPart = "deadf00d";
/** Largest number of recorded messages of one kind. */
const maxSamples = 16;
/** Largest number of recorded commands of one type. */
const maxCommands = 3;

/** Returns the paths of all fields of a value; keys that contain a digit are ids. */
function fieldPaths(value: unknown, path = ""): string[] {
    if (!(value instanceof Object)) {
        return [`${path}:${typeof value}`];
    }
    return Object.entries(value).flatMap(([key, field]) => fieldPaths(field, `${path}.${/\d/.test(key) ? "*" : key}`));
}

/** Keeps each value that has a field which no value before it had. */
class Samples {
    private readonly seen = new Set<string>();
    readonly kept: unknown[] = [];

    add(value: unknown): void {
        const paths = fieldPaths(value).filter(path => !this.seen.has(path));
        if (value instanceof Object && paths.length > 0 && this.kept.length < maxSamples) {
            paths.forEach(path => this.seen.add(path));
            this.kept.push(value);
        }
    }
}

interface Json {
    toJSONSchema(schema: unknown, options: object): JsonSchema;
}

/** Describes the messages of a checkout by its own schemas. */
async function readSchemas(): Promise<RecordedSchemas> {
    const load = async <T>(path: string): Promise<T> => await import(join(build, path)) as T;
    const { toJSONSchema } = await load<Json>("node_modules/zod/index.js");
    const describe = (schema: unknown): JsonSchema => toJSONSchema(schema, { io: "input", unrepresentable: "any" });
    const { attachStewardMethods, ...answers } = await load<typeof StewardMethods>(
        "packages/steward/src/steward-methods.ts",
    );
    const { syncAnswerSchema, originAnswerSchema } = await load<Record<string, unknown>>(
        "packages/ingress/src/fleet-messages.ts",
    );
    const { exchangeLineSchema } = await load<Record<string, unknown>>("packages/ingress/src/exchange-messages.ts");
    const { releaseAnswerSchema } = await load<Record<string, unknown>>("packages/steward/src/vote-release.ts");
    const { ingressDescriptionSchema } = await load<Record<string, unknown>>("packages/fleet/src/roster.ts");
    const { endpointSchema } = await load<Record<string, unknown>>("packages/fleet/src/endpoint-directory.ts");
    return {
        params: Object.fromEntries(
            Object.entries(methodSchemas(attachStewardMethods)).map(([name, schema]) => [name, describe(schema)]),
        ),
        results: {
            "fleet.sync": describe(syncAnswerSchema),
            "fleet.origins": describe(originAnswerSchema),
            "fleet.roster": describe(answers.rosterAnswerSchema),
            "catalog.submit": describe(answers.submitAnswerSchema),
            "catalog.read": describe(answers.readAnswerSchema),
            "prompt-parts.list": describe(answers.promptPartsAnswerSchema),
            "control.release-vote": describe(releaseAnswerSchema),
        },
        parts: {
            feed: describe(exchangeLineSchema),
            ingress: describe(ingressDescriptionSchema),
            endpoint: describe(endpointSchema),
        },
    };
}

/** Returns the state that the checkout's stewards have after the recorded commands and one of each other type. */
async function readState(commands: readonly string[]): Promise<Pick<RecordedState, "commands" | "snapshot">> {
    const { StewardState } = await import(join(build, "packages/steward/src/steward-state.ts")) as {
        StewardState: new(...callbacks: (() => void)[]) => {
            apply(text: string, index: number): unknown;
            snapshot(): string;
        };
    };
    const others = [
        { type: "engine-rate", service: "model", tokensPerMs: 55 },
        { type: "block-part", verdict: { part: "a", endpoints: ["i-1", "i-2"] } },
        { type: "block-part", verdict: { part: "b", endpoints: ["i-1"] } },
        { type: "unblock-part", part: "a" },
        { type: "barrier" },
    ];
    const all = [...commands, ...others.map(command => JSON.stringify(command))];
    const state = new StewardState(() => undefined, () => undefined);
    all.forEach((command, i) => state.apply(command, i + 1));
    return { commands: all, snapshot: state.snapshot() };
}

/** Returns a few commands of each type, in the order of their entries in the log. */
function someCommands(messages: readonly SentMessage[]): string[] {
    const entries = new Map(
        messages.flatMap(message => message.entries ?? []).map(entry => [entry.index, entry.content.command]),
    );
    const counts = new Map<string, number>();
    return [...entries].sort(([a], [b]) => a - b).flatMap(([, command]) => {
        const type = (JSON.parse(command ?? "{}") as { type?: string; }).type ?? "";
        counts.set(type, (counts.get(type) ?? 0) + 1);
        return command !== undefined && (counts.get(type) ?? 0) <= maxCommands ? [command] : [];
    });
}

interface SentMessage {
    entries?: { index: number; content: { command?: string; }; }[];
}

function readMessages(folder: string): { messages: RecordedMessages; commands: string[]; } {
    const sent: SentMessage[] = [];
    const calls = new Map<string, { params: Samples; results: Samples; }>();
    const feed = new Samples();
    for (const name of readdirSync(folder)) {
        for (const line of readFileSync(join(folder, name), "utf8").trim().split("\n")) {
            const value = JSON.parse(line) as { method?: string; params?: unknown; result?: unknown; feed?: unknown; };
            feed.add(value.feed);
            if (value.method !== undefined) {
                const call = calls.get(value.method) ?? { params: new Samples(), results: new Samples() };
                calls.set(value.method, call);
                call.params.add(value.params);
                call.results.add(value.result);
                sent.push(...(value.params as { messages?: SentMessage[]; }).messages ?? []);
            }
        }
    }
    const messages = {
        calls: Object.fromEntries(
            [...calls].sort(([a], [b]) => a < b ? -1 : 1).map(([method, { params, results }]) => [
                method,
                { params: params.kept, results: results.kept },
            ]),
        ),
        feed: feed.kept,
    };
    return { messages, commands: someCommands(sent) };
}

function configuration(version: number): string {
    const route = { timeout_ms: 2_000, target_latency_ms: 500, priority: 0, max_attempts: 2, public: false };
    return JSON.stringify({
        version,
        routes: [
            {
                ...route,
                name: "chat",
                host: "h",
                path_prefix: "/chat/",
                kind: "streaming",
                service: "model",
                resumable: true,
            },
            { ...route, name: "safe", host: "h", path_prefix: "/safe/", kind: "safe", service: "app" },
        ],
        services: [
            {
                name: "model",
                health_check_path: "/h",
                connection_limit: 200,
                engine: { slots: 8, kv_cache_tokens: 100_000 },
            },
            { name: "app", health_check_path: "/h", connection_limit: 200 },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "w", api_keys: ["key"], priority: 0, requests_per_window: 100_000 }],
    });
}

/** Plays a fleet of the build alone through what makes its processes talk, and returns the data folder of a steward. */
async function play(recordFolder: string): Promise<Record<string, string>> {
    process.env.RECORD_FOLDER = recordFolder;
    const isDeadly = (req: { headers: Record<string, unknown>; }): boolean =>
        String(req.headers["x-prompt-prefix"]).includes(deadlyPart);
    const engines = Array.from(
        { length: 6 },
        (...[, i]) => new CrashingEndpoint(`i-model-${i}`, "model", isDeadly, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
    );
    const apps = Array.from({ length: 2 }, (...[, i]) => new SoakEndpoint(`i-app-${i}`, "app", [], []));
    const platform = new PlatformStandIn(() => [
        ...engines.map(({ entry }) => ({ ...entry as object, version: "v1" })),
        ...apps.map(({ id, service, port }) => ({
            id,
            service,
            address: `127.0.0.1:${port}`,
            zone: "a",
            slots: 8,
            state: "ready",
            version: "v1",
            born: 1_700_000_000_000,
        })),
    ]);
    const fleet = new FleetProcesses(await platform.start(), 3, 4, {
        settings: [],
        nodeOptions: ["--import", join(import.meta.dirname, "record-calls.mjs")],
    });
    [...fleet.stewards, ...fleet.ingresses].forEach(host => fleet.programs.set(host, builtProgram(build)));
    let sent = 0;
    const call = async (host: string, part: string): Promise<number> => {
        const headers = {
            "host": "h",
            "api-key": "key",
            "x-attempt-id": `c${sent++}`,
            "x-deadline-ms": "2000",
            ...part === "" ? {} : { "x-token-usage": "300,20", "x-prompt-prefix": `5ade:100,${part}:100,${sent}:100` },
            ...part === "resume"
                ? { "last-event-id": "1", "resumes": `c${sent - 9}`, "x-prompt-prefix": "5ade:100" }
                : {},
        };
        const method = part === "" ? "GET" : "POST";
        const path = part === "" ? `/safe/${sent}` : `/chat/${sent}`;
        const body = part === "" ? undefined : "{}";
        return await exchange(host, ports.front, path, { method, headers, body }).then(({ status }) => status, () => 0);
    };
    const configure = async (version: number): Promise<boolean> => {
        const request = { method: "PUT", body: configuration(version) };
        const host = fleet.stewards[version % fleet.stewards.length] ?? "";
        return (await exchange(host, ports.control, "/lentilramp/configuration", request)).status === 200;
    };
    const load = async (ms: number): Promise<void> => {
        for (const until = Date.now() + ms; Date.now() < until;) {
            await Promise.all(fleet.ingresses.flatMap(host => ["", "50f7", "resume"].map(part => call(host, part))));
        }
    };
    try {
        for (const endpoint of [...engines, ...apps]) {
            await endpoint.start();
        }
        await fleet.start();
        await until("a configuration was taken", () => configure(1));
        await load(1_500);
        apps[0]?.nameLimit("40");
        await load(2_500);
        await until("the part is refused", async () => {
            const statuses = await Promise.all(fleet.ingresses.map(host => call(host, deadlyPart)));
            return statuses.every(status => status === 503);
        });
        await load(1_500);
        await until("a configuration was taken", () => configure(2));
        const [first = "", second = ""] = fleet.stewards;
        await fleet.end(first, "SIGKILL");
        await load(2_500);
        fleet.run(first);
        await load(2_500);
        await until("a configuration was taken", () => configure(3));
        await until("a configuration was taken", () => configure(4));
        fleet.programs.set(`${first.slice(0, -1)}4`, builtProgram(build));
        fleet.addSteward();
        await load(4_000);
        await fleet.end(second, "SIGTERM");
        fleet.removeSteward(second);
        await load(3_000);
        await until("a configuration was read", async () => {
            const answers = await Promise.all(
                fleet.stewards.map(host => exchange(host, ports.control, "/lentilramp/configuration")),
            );
            return answers.every(({ status }) => status === 200);
        });
        // One of them leads, and hands over.
        for (const host of fleet.stewards) {
            await fleet.end(host, "SIGTERM");
            await load(1_000);
            fleet.run(host);
            await load(1_500);
        }
        const folder = fleet.dataFolder(first);
        await fleet.end(first, "SIGTERM");
        const files = readdirSync(folder, { recursive: true, withFileTypes: true }).filter(file => file.isFile());
        return Object.fromEntries(files.map(file => {
            const path = join(file.parentPath, file.name);
            return [path.slice(folder.length + 1), readFileSync(path).toString("base64")];
        }));
    }
    finally {
        await fleet.close();
        [...engines, ...apps].forEach(endpoint => endpoint.close());
        platform.close();
    }
}

const recordFolder = mkdtempSync(join(tmpdir(), "lentilramp-record-"));
const folder = await play(recordFolder);
const { messages, commands } = readMessages(recordFolder);
rmSync(recordFolder, { recursive: true });
mkdirSync(out, { recursive: true });
writeFileSync(join(out, "messages.json"), JSON.stringify(messages, undefined, 1));
const state: RecordedState = { folder, ...await readState(commands) };
writeFileSync(join(out, "state.json"), JSON.stringify(state, undefined, 1));
writeFileSync(join(out, "schemas.json"), JSON.stringify(await readSchemas(), undefined, 1));
for (const [method, { params, results }] of Object.entries(messages.calls)) {
    process.stdout.write(`${method} params=${params.length} results=${results.length}\n`);
}
process.stdout.write(`feed lines=${messages.feed.length} files=${Object.keys(folder).join(",")}\n`);
