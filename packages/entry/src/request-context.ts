import type { Configuration } from "@lentilramp/configuration";
import type { IncomingMessage } from "node:http";
import { CallerError } from "./caller-error.ts";

export type Priority = "high" | "normal" | "low";

/** Properties of a request from its headers. */
export interface RequestContext {
    workspace: string;
    /** Time by which the whole answer must arrive, in milliseconds since the epoch. */
    deadline: number;
    priority: Priority;
    /** Request key from the header `idempotency-key`. */
    key: string | undefined;
    arrivedAt: number;
}

const priorities: readonly Priority[] = ["high", "normal", "low"];
const epochMillisecondsPattern = /^\d{1,15}$/;

function readHeader(req: IncomingMessage, name: string): string | undefined {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function parseDeadline(text: string | undefined, defaultTimeoutMs: number, now: number): number {
    if (text === undefined) {
        return now + defaultTimeoutMs;
    }
    if (!epochMillisecondsPattern.test(text)) {
        throw new CallerError(
            400,
            "malformed-request",
            "x-request-deadline must be in milliseconds since the epoch",
            "not-run",
        );
    }
    const deadline = Number(text);
    if (deadline <= now) {
        throw new CallerError(408, "deadline-expired", "the deadline had passed when the request arrived", "not-run");
    }
    return deadline;
}

/**
 * Reads the headers of a request. `defaultTimeoutMs` is the time allowed when the request has no deadline. Throws a
 * CallerError for missing or invalid headers, an unknown workspace or an expired deadline.
 */
export function readRequestContext(
    req: IncomingMessage,
    configuration: Configuration,
    defaultTimeoutMs: number,
    now: number,
): RequestContext {
    const workspace = readHeader(req, "x-workspace");
    if (workspace === undefined) {
        throw new CallerError(400, "missing-header", "the header x-workspace is required", "not-run");
    }
    const definition = configuration.workspaces.find(other => other.id === workspace);
    if (definition === undefined || definition.lifecycle === "draining" || definition.lifecycle === "released") {
        throw new CallerError(403, "unknown-workspace", `workspace ${workspace} is not served here`, "not-run");
    }
    const priority = readHeader(req, "x-priority") ?? "normal";
    if (!priorities.includes(priority as Priority)) {
        throw new CallerError(
            400,
            "malformed-request",
            `x-priority must be one of ${priorities.join(", ")}`,
            "not-run",
        );
    }
    return {
        workspace,
        deadline: parseDeadline(readHeader(req, "x-request-deadline"), defaultTimeoutMs, now),
        priority: priority as Priority,
        key: readHeader(req, "idempotency-key"),
        arrivedAt: now,
    };
}

/** Parses a JSON body. Throws a CallerError when the body is not valid JSON. */
export function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (err) {
        const reason = err instanceof Error ? err.message : "syntax error";
        throw new CallerError(400, "malformed-request", `the body is not valid JSON: ${reason}`, "not-run");
    }
}
