import type { Configuration } from "@lentilramp/configuration";
import type { IncomingMessage } from "node:http";
import { CallerError } from "./caller-error.ts";

export type Priority = "high" | "normal" | "low";

/** What the headers of a request say about it. */
export interface RequestContext {
    workspace: string;
    /** Instant by which the whole answer is wanted, in milliseconds since the epoch. */
    deadline: number;
    priority: Priority;
    /** Request key of the caller. */
    key: string | undefined;
    arrivedAt: number;
}

const priorities: readonly Priority[] = ["high", "normal", "low"];
const epochMillisecondsPattern = /^\d{1,15}$/;

function header(req: IncomingMessage, name: string): string | undefined {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function parseDeadline(text: string | undefined, defaultMs: number, now: number): number {
    if (text === undefined) {
        return now + defaultMs;
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

/** Reads and checks the headers of a request. `defaultMs` is the time allowed when the caller gives no deadline. */
export function readContext(
    req: IncomingMessage,
    configuration: Configuration,
    defaultMs: number,
    now: number,
): RequestContext {
    const workspace = header(req, "x-workspace");
    if (workspace === undefined) {
        throw new CallerError(400, "missing-header", "the header x-workspace is required", "not-run");
    }
    const known = configuration.workspaces.find(other => other.id === workspace);
    if (known === undefined || known.lifecycle === "draining" || known.lifecycle === "released") {
        throw new CallerError(403, "unknown-workspace", `workspace ${workspace} is not served here`, "not-run");
    }
    const priority = header(req, "x-priority") ?? "normal";
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
        deadline: parseDeadline(header(req, "x-request-deadline"), defaultMs, now),
        priority: priority as Priority,
        key: header(req, "idempotency-key"),
        arrivedAt: now,
    };
}

/** Parses a JSON body; the caller gets a typed error when it is malformed. */
export function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch (err) {
        const reason = err instanceof Error ? err.message : "syntax error";
        throw new CallerError(400, "malformed-request", `the body is not valid JSON: ${reason}`, "not-run");
    }
}
