import { v7 as newKey } from "uuid";
import type { Address, EntryResolver } from "./entry-resolver.ts";
import { sendHttpRequest } from "./http-request.ts";

const maxAttempts = 10;
const retryDelayMs = 250;

/** The responses that a caller received to one non-idempotent call. */
export interface CallResult {
    key: string;
    /** Run state of each response, or its HTTP status if it has none, attempt by attempt. */
    runStates: string[];
    /** Bodies of the responses that reported an execution. */
    executionBodies: string[];
    /** Whether any response reported that the call was not run. */
    reportedNotRun: boolean;
}

interface ErrorBody {
    error?: { run?: string; };
}

async function sendCall(
    entry: Address,
    path: string,
    workspace: string,
    key: string,
    body: string,
): Promise<{ state: string; body: string; }> {
    try {
        const res = await sendHttpRequest({
            ...entry,
            method: "POST",
            path,
            headers: {
                "x-workspace": workspace,
                "idempotency-key": key,
                "x-request-deadline": String(Date.now() + 4_000),
            },
            body,
            timeoutMs: 6_000,
        });
        if (res.status === 200) {
            return { state: "completed", body: res.body };
        }
        const errorBody = JSON.parse(res.body) as ErrorBody;
        return { state: errorBody.error?.run ?? `status ${res.status}`, body: res.body };
    }
    catch {
        return { state: "no-answer", body: "" };
    }
}

/**
 * Sends one non-idempotent call and retries it with the same idempotency key, through other entries, until a response
 * reports the outcome or the attempts are exhausted. The first attempt sends `copies` identical calls at once.
 */
export async function runCall(
    resolver: EntryResolver,
    service: string,
    operation: string,
    workspace: string,
    copies: number,
): Promise<CallResult> {
    const key = newKey();
    const path = `/v1/services/${service}/${operation}`;
    const body = JSON.stringify({ booking: key });
    const result: CallResult = { key, runStates: [], executionBodies: [], reportedNotRun: false };
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const entries = await Promise.all(Array.from(Array(attempt === 0 ? copies : 1).keys(), () => resolver.pick()));
        const responses = await Promise.all(entries.map(entry => sendCall(entry, path, workspace, key, body)));
        result.runStates.push(...responses.map(response => response.state));
        result.executionBodies.push(
            ...responses.filter(response => response.state === "completed").map(response => response.body),
        );
        result.reportedNotRun ||= responses.some(response => response.state === "not-run");
        if (result.executionBodies.length > 0 || result.reportedNotRun) {
            break;
        }
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
    return result;
}

/** Sends a call and, at the same time, seals its key through another entry; the result holds both responses. */
export async function runSealRace(
    resolver: EntryResolver,
    service: string,
    operation: string,
    workspace: string,
): Promise<CallResult> {
    const key = newKey();
    const result: CallResult = { key, runStates: [], executionBodies: [], reportedNotRun: false };
    const callEntry = await resolver.pick();
    const sealEntry = await resolver.pick([callEntry]);
    const body = JSON.stringify({ booking: key });
    const [callResponse, sealResponse] = await Promise.all([
        sendCall(callEntry, `/v1/services/${service}/${operation}`, workspace, key, body),
        sendHttpRequest({ ...sealEntry, method: "POST", path: `/v1/requests/${key}/seal`, body: "{}" })
            .then(res => ({
                state: (JSON.parse(res.body) as { state?: string; }).state ?? "completed",
                body: res.body,
            }))
            .catch(() => ({ state: "no-answer", body: "" })),
    ]);
    for (const response of [callResponse, sealResponse]) {
        result.runStates.push(response.state);
        result.reportedNotRun ||= response.state === "not-run";
        if (response.state === "completed") {
            result.executionBodies.push(response.body);
        }
    }
    return result;
}
