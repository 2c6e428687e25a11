import {
    type WhereAnswer,
    whereAnswerSchema,
    type WhereCase,
    type WhereEndpoint,
    whereMethod,
    type WhereRequest,
} from "@lentilramp/exchange";
import { RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import { z } from "zod";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { withClient } from "../operator-client.ts";
import { formatTable, type Output } from "../output.ts";

/** Largest number that an option may have. */
const maxCount = 1e9;
/** Error code of JSON-RPC for a method that a process does not have. */
const methodNotFound = -32_601;
/** A process without calls for others on its inner port answers with this status. */
const noCallsSchema = z.object({ status: z.literal(404) });

/** Options as the command line delivers them: a value that looks like a number is one. */
export interface WhereOptions {
    key?: string;
    route?: unknown;
    workspace?: unknown;
    rank?: unknown;
    promptTokens?: unknown;
    prefix?: unknown;
    size?: unknown;
}

/**
 * Returns the options with names that look like numbers as they were typed in the arguments `argv`: the command line
 * makes the same number of 007 and 7, which may be two routes.
 */
export function withTypedNames<T extends WhereOptions>(options: T, argv: readonly string[]): T {
    const typed = (["route", "workspace"] as const).flatMap(option => {
        if (typeof options[option] !== "number") {
            return [];
        }
        const flag = `--${option}`;
        const index = argv.findIndex(arg => arg === flag || arg.startsWith(`${flag}=`));
        const text = argv[index] === flag ? argv[index + 1] : argv[index]?.slice(flag.length + 1);
        return text === undefined ? [] : [[option, text] as const];
    });
    return { ...options, ...Object.fromEntries(typed) };
}

/** Returns the request that the options describe; throws a CommandError that names the option that is wrong. */
export function toWhereRequest(options: WhereOptions): WhereRequest {
    const route = readName("--route", options.route);
    if (route === undefined) {
        throw usage("give --route NAME");
    }
    return {
        route,
        workspace: readName("--workspace", options.workspace),
        rank: readCount("--rank", options.rank),
        promptTokens: readCount("--prompt-tokens", options.promptTokens),
        parts: readParts(options.prefix),
        sizeBytes: readCount("--size", options.size),
    };
}

function usage(message: string): CommandError {
    return new CommandError(exitCodes.usage, message);
}

function readName(option: string, value: unknown): string | undefined {
    if (value === undefined) {
        return undefined;
    }
    if (typeof value !== "string" && typeof value !== "number" || value === "") {
        throw usage(`${option} must be one name`);
    }
    return String(value);
}

function readCount(option: string, value: unknown): number | undefined {
    if (value === undefined) {
        return undefined;
    }
    if (typeof value !== "number" || !Number.isInteger(value) || value < 0 || value > maxCount) {
        throw usage(`${option} must be a whole number from 0 to ${maxCount}, not ${JSON.stringify(value)}`);
    }
    return value;
}

/** Parses prompt parts that are written as `ID:TOKENS,ID:TOKENS`. */
function readParts(value: unknown): WhereRequest["parts"] {
    const text = readName("--prefix", value);
    return (text?.split(",") ?? []).map(entry => {
        const [, id, tokens] = /^([^:]+):(\d+)$/.exec(entry.trim()) ?? [];
        if (id === undefined) {
            throw usage(`--prefix must list parts as ID:TOKENS, not ${JSON.stringify(entry)}`);
        }
        return { id, tokens: readCount("tokens in --prefix", Number(tokens)) ?? 0 };
    });
}

function percent(share: number): string {
    return `${Math.round(share * 1_000) / 10}%`;
}

function milliseconds(ms: number | undefined): string {
    return ms === undefined ? "-" : `${Math.round(ms)} ms`;
}

function describeEstimate({ estimate }: WhereEndpoint): string {
    if (estimate === undefined) {
        return "-";
    }
    const full = estimate.fullAt === undefined ? "" : `, full at ${estimate.fullAt}`;
    return `x${estimate.factor.toFixed(2)}${full}`;
}

function describeDecision({ decision, choice, endpoints }: WhereCase): string {
    const { kind, reason, waitMs, retryAfterMs } = decision;
    const among = endpoints.filter(({ verdict }) => verdict === "may-be-chosen").map(({ id }) => id);
    const target = among.length > 1
        ? `${choice ?? "-"} (drawn among ${among.length} that are nearly as good)`
        : choice ?? "-";
    switch (kind) {
        case "send":
            return `send to ${target}`;
        case "wait": {
            const cause = reason === undefined ? "" : ` (${reason})`;
            return `wait for up to ${milliseconds(waitMs)}${cause}${choice === undefined ? "" : `; best: ${target}`}`;
        }
        default: {
            const retry = retryAfterMs === undefined ? "" : `, retry after at least ${milliseconds(retryAfterMs)}`;
            return `refuse: ${reason ?? kind}${retry}${choice === undefined ? "" : `; best: ${target}`}`;
        }
    }
}

function describeLevel({ level }: WhereCase): string {
    if (level === undefined) {
        return "admission level: none";
    }
    const ranks = level.ranks.map(([rank, share]) => `rank ${rank} ${percent(share)}`).join(", ");
    return `admission level: ${percent(level.admittedShare)} of such requests admitted, age ${
        milliseconds(level.ageMs)
    }, ${level.applies ? "applies" : "does not apply: not enough is taken"}${ranks === "" ? "" : `; ${ranks}`}`;
}

function formatCase(entry: WhereCase): string[] {
    const rollout = entry.rollout === undefined
        ? ""
        : `, roll-out: ${entry.rollout === "target" ? "may use the new version" : "other versions"}`;
    return [
        "",
        `service ${entry.service}: ${percent(entry.share)} of such requests${rollout}`,
        describeLevel(entry),
        `waiting ahead: ${entry.queuedAhead}`,
        `decision: ${describeDecision(entry)}`,
        ...formatTable([
            [
                "endpoint",
                "domain",
                "version",
                "state",
                "running",
                "slots",
                "unread",
                "estimate",
                "age",
                "first byte",
                "verdict",
            ],
            ...entry.endpoints.map(endpoint => [
                endpoint.id,
                endpoint.failureDomain,
                endpoint.version === "" ? "-" : endpoint.version,
                endpoint.state,
                String(endpoint.running),
                String(endpoint.slots),
                String(endpoint.unreadTokens),
                describeEstimate(endpoint),
                milliseconds(endpoint.estimate?.ageMs),
                milliseconds(endpoint.prediction?.firstByteMs),
                endpoint.verdict,
            ]),
        ]),
        ...entry.omitted > 0 ? [`${entry.omitted} more endpoints are not listed`] : [],
    ];
}

/** Returns the form of an answer for reading. */
export function formatWhere(
    { ingress, catalogVersion, route, workspace, rank, refusal, cases }: WhereAnswer,
): string[] {
    const state = [
        ingress.ready ? "ready" : "not ready",
        ...ingress.stopping ? ["stopping"] : [],
        ...ingress.cutOff ? ["reaches no endpoint, requests go to another ingress"] : [],
    ];
    return [
        `ingress ${ingress.name}: ${state.join(", ")}; configuration ${catalogVersion}`,
        `route ${route}, workspace ${workspace ?? "-"}, rank ${rank}`,
        ...refusal === undefined
            ? []
            : [`refused before an endpoint is chosen: ${refusal.status} ${refusal.reason}`],
        ...cases.flatMap(formatCase),
    ];
}

function toCommandError(err: unknown, address: string): unknown {
    if (!(err instanceof RpcError)) {
        return err;
    }
    if (err.failure === "unauthorized") {
        return new CommandError(exitCodes.unauthorized, `${address}: ${err.message}`);
    }
    if (err.code === rpcErrorCodes.invalidRequest) {
        return usage(`${address}: ${err.message}`);
    }
    const isUnknown = err.code === methodNotFound || noCallsSchema.safeParse(err.data).success;
    return new CommandError(
        exitCodes.failed,
        isUnknown
            ? `${address} does not know the method ${whereMethod}: it is no ingress, or one of an earlier release`
            : `${address}: ${err.message}`,
    );
}

/** Shows where an ingress would send a request now, and why, without sending it. */
export async function where(address: string, options: WhereOptions, output: Output): Promise<ExitCode> {
    const req = toWhereRequest(options);
    return await withClient({ control: address, key: options.key ?? "process.key" }, async client => {
        const [ingress] = client.control;
        if (ingress === undefined || client.control.length > 1) {
            throw usage("name one ingress as HOST:PORT");
        }
        const answer = await client.call(ingress, whereMethod, req, whereAnswerSchema).catch((err: unknown) => {
            throw toCommandError(err, address);
        });
        output.result(answer, formatWhere(answer));
        return exitCodes.ok;
    });
}
