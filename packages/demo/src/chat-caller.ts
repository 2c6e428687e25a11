import { expectedTokens } from "@lentilramp/stand-ins";
import { createParser } from "eventsource-parser";
import { request } from "node:http";
import type { Address, EntryResolver } from "./entry-resolver.ts";

const maxAttempts = 8;
const retryDelayMs = 200;

export interface ChatRequest {
    model: string;
    workspace: string;
    priority: string;
    prompt: string;
    maxTokens: number;
    seed: number;
}

/** The result of one chat request over all attempts. */
export interface ChatResult {
    /** Whether the caller received exactly the expected tokens. */
    isComplete: boolean;
    /** Number of attempts that were cut off after an entry had accepted the request. */
    resumeCount: number;
    /** Whether an entry accepted the request, that is, sent a response with status 200. */
    wasAccepted: boolean;
    /** Endpoints that served the accepted attempts, in order. */
    endpoints: string[];
    /** Entries to which the attempts were sent, in order. */
    entries: Address[];
    firstTokenMs: number;
    startedAt: number;
    endedAt: number;
    problem: string | undefined;
}

interface ReceivedTokens {
    count: number;
    text: string;
}

type AttemptOutcome = "done" | "cut" | "refused";

/** Sends one streaming request and, when an attempt fails, retries or resumes it at another entry. */
export async function runChat(chatRequest: ChatRequest, resolver: EntryResolver): Promise<ChatResult> {
    const body = {
        model: chatRequest.model,
        messages: [{ role: "user", content: chatRequest.prompt }],
        max_tokens: chatRequest.maxTokens,
        seed: chatRequest.seed,
        stream: true,
    };
    const result: ChatResult = {
        isComplete: false,
        resumeCount: 0,
        wasAccepted: false,
        endpoints: [],
        entries: [],
        firstTokenMs: 0,
        startedAt: Date.now(),
        endedAt: 0,
        problem: undefined,
    };
    const received: ReceivedTokens = { count: 0, text: "" };
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const entry = await resolver.pick(result.entries.slice(-1));
        result.entries.push(entry);
        const outcome = await sendAttempt(entry, chatRequest, body, received, result);
        if (outcome === "done") {
            break;
        }
        if (outcome === "cut") {
            result.resumeCount++;
        }
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
    result.endedAt = Date.now();
    const expected = expectedTokens(body);
    result.isComplete = received.count === expected.length && received.text === expected.join("");
    if (!result.isComplete) {
        result.problem ??= `received ${received.count} of ${expected.length} expected tokens, or a different text`;
    }
    return result;
}

function sendAttempt(
    entry: Address,
    chatRequest: ChatRequest,
    body: object,
    received: ReceivedTokens,
    result: ChatResult,
): Promise<AttemptOutcome> {
    const attemptBody = received.count > 0 ? { ...body, resume_text: received.text } : body;
    const payload = JSON.stringify(attemptBody);
    return new Promise(resolve => {
        const req = request({
            ...entry,
            method: "POST",
            path: "/v1/chat/completions",
            agent: false,
            headers: {
                "content-type": "application/json",
                "content-length": String(Buffer.byteLength(payload)),
                "x-workspace": chatRequest.workspace,
                "x-priority": chatRequest.priority,
                ...(received.count > 0 ? { "last-event-id": String(received.count) } : {}),
                ...(result.endpoints.length > 0 ? { "x-endpoint": result.endpoints.at(-1) } : {}),
            },
        });
        let isDone = false;
        req.on("error", () => resolve(result.wasAccepted ? "cut" : "refused"));
        req.on("response", res => {
            if (res.statusCode !== 200) {
                result.problem = `expected status 200, found ${res.statusCode}`;
                res.resume();
                res.on("end", () => resolve("refused"));
                return;
            }
            result.wasAccepted = true;
            result.problem = undefined;
            result.endpoints.push(String(res.headers["x-endpoint"]));
            const parser = createParser({
                onEvent: event => {
                    if (event.data === "[DONE]") {
                        isDone = true;
                    }
                    else if (event.event === "error") {
                        result.problem = event.data;
                    }
                    else {
                        appendToken(event.data, Number(event.id), received, result);
                    }
                },
            });
            res.setEncoding("utf8");
            res.on("data", (chunk: string) => parser.feed(chunk));
            res.on("error", () => resolve(isDone ? "done" : "cut"));
            res.on("close", () => resolve(isDone ? "done" : "cut"));
        });
        req.end(payload);
    });
}

function appendToken(data: string, id: number, received: ReceivedTokens, result: ChatResult): void {
    if (id !== received.count + 1) {
        result.problem = `event ID ${id} does not directly follow event ID ${received.count}`;
    }
    const chunk = JSON.parse(data) as { choices: { delta: { content: string; }; }[]; };
    received.text += chunk.choices[0]?.delta.content ?? "";
    received.count++;
    if (received.count === 1) {
        result.firstTokenMs = Date.now() - result.startedAt;
    }
}
