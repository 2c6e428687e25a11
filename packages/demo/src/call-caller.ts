import { v7 as newKey } from "uuid";
import type { Address, AddressBook } from "./address-book.ts";
import { httpCall } from "./http-call.ts";

const maxTries = 10;
const retryPauseMs = 250;

/** What a caller was told about one non-idempotent call. */
export interface OnceResult {
    key: string;
    /** Statuses or run states of all answers, in order of arrival. */
    answers: string[];
    /** Bodies of the answers that reported an execution. */
    outcomes: string[];
    saidNotRun: boolean;
}

interface ErrorBody {
    error?: { run?: string; };
}

async function send(
    entry: Address,
    path: string,
    workspace: string,
    key: string,
    body: string,
): Promise<{ state: string; body: string; }> {
    try {
        const answer = await httpCall({
            ...entry,
            method: "POST",
            path,
            headers: {
                "x-workspace": workspace,
                "idempotency-key": key,
                "x-request-deadline": String(Date.now() + 4_000),
            },
            body,
            limitMs: 6_000,
        });
        if (answer.status === 200) {
            return { state: "completed", body: answer.body };
        }
        const parsed = JSON.parse(answer.body) as ErrorBody;
        return { state: parsed.error?.run ?? `status ${answer.status}`, body: answer.body };
    }
    catch {
        return { state: "no-answer", body: "" };
    }
}

/**
 * Sends one non-idempotent call with a key and repeats it with the same key, through other entries, until the outcome
 * is known. With `copies` above one, that many copies are sent at once.
 */
export async function runOnce(
    book: AddressBook,
    service: string,
    operation: string,
    workspace: string,
    copies: number,
): Promise<OnceResult> {
    const key = newKey();
    const path = `/v1/services/${service}/${operation}`;
    const body = JSON.stringify({ booking: key });
    const result: OnceResult = { key, answers: [], outcomes: [], saidNotRun: false };
    for (let attempt = 0; attempt < maxTries; attempt++) {
        const entries = await Promise.all(Array.from(Array(attempt === 0 ? copies : 1).keys(), () => book.pick()));
        const answers = await Promise.all(entries.map(entry => send(entry, path, workspace, key, body)));
        result.answers.push(...answers.map(answer => answer.state));
        result.outcomes.push(...answers.filter(answer => answer.state === "completed").map(answer => answer.body));
        result.saidNotRun ||= answers.some(answer => answer.state === "not-run");
        if (result.outcomes.length > 0 || result.saidNotRun) {
            break;
        }
        await new Promise(resolve => setTimeout(resolve, retryPauseMs));
    }
    return result;
}

/** Sends a call and, at the same time through another entry, seals its key; reports what each was told. */
export async function runSealRace(
    book: AddressBook,
    service: string,
    operation: string,
    workspace: string,
): Promise<OnceResult> {
    const key = newKey();
    const result: OnceResult = { key, answers: [], outcomes: [], saidNotRun: false };
    const first = await book.pick();
    const second = await book.pick([first]);
    const body = JSON.stringify({ booking: key });
    const [called, sealed] = await Promise.all([
        send(first, `/v1/services/${service}/${operation}`, workspace, key, body),
        httpCall({ ...second, method: "POST", path: `/v1/requests/${key}/seal`, body: "{}" })
            .then(answer => ({
                state: (JSON.parse(answer.body) as { state?: string; }).state ?? "completed",
                body: answer.body,
            }))
            .catch(() => ({ state: "no-answer", body: "" })),
    ]);
    for (const answer of [called, sealed]) {
        result.answers.push(answer.state);
        result.saidNotRun ||= answer.state === "not-run";
        if (answer.state === "completed") {
            result.outcomes.push(answer.body);
        }
    }
    return result;
}
