import { expectedTokens } from "@lentilramp/stand-ins";
import { createParser } from "eventsource-parser";
import { request } from "node:http";
import type { Address, AddressBook } from "./address-book.ts";

const maxTries = 8;
const retryPauseMs = 200;

export interface ChatJob {
    model: string;
    workspace: string;
    priority: string;
    prompt: string;
    maxTokens: number;
    seed: number;
}

/** What became of one chat request. */
export interface ChatResult {
    /** True when the text is the whole expected answer. */
    whole: boolean;
    /** Times that the caller continued at another entry. */
    resumes: number;
    /** True when an entry accepted the request, that is, began to answer. */
    accepted: boolean;
    endpoints: string[];
    entries: Address[];
    firstTokenMs: number;
    startedAt: number;
    endedAt: number;
    problem: string | undefined;
}

interface Received {
    count: number;
    text: string;
}

type TryEnd = "done" | "cut" | "refused";

/** Sends one streaming request as a caller does, and continues at another entry when the first one is lost. */
export async function runChat(job: ChatJob, book: AddressBook): Promise<ChatResult> {
    const body = {
        model: job.model,
        messages: [{ role: "user", content: job.prompt }],
        max_tokens: job.maxTokens,
        seed: job.seed,
        stream: true,
    };
    const result: ChatResult = {
        whole: false,
        resumes: 0,
        accepted: false,
        endpoints: [],
        entries: [],
        firstTokenMs: 0,
        startedAt: Date.now(),
        endedAt: 0,
        problem: undefined,
    };
    const received: Received = { count: 0, text: "" };
    for (let attempt = 0; attempt < maxTries; attempt++) {
        const entry = await book.pick(result.entries.slice(-1));
        result.entries.push(entry);
        const end = await tryOnce(entry, job, body, received, result);
        if (end === "done") {
            break;
        }
        if (end === "cut") {
            result.resumes++;
        }
        await new Promise(resolve => setTimeout(resolve, retryPauseMs));
    }
    result.endedAt = Date.now();
    const expected = expectedTokens(body);
    result.whole = received.count === expected.length && received.text === expected.join("");
    if (!result.whole) {
        result.problem ??= `got ${received.count} of ${expected.length} tokens`;
    }
    return result;
}

function tryOnce(entry: Address, job: ChatJob, body: object, received: Received, result: ChatResult): Promise<TryEnd> {
    const resumed = received.count > 0 ? { ...body, resume_text: received.text } : body;
    const text = JSON.stringify(resumed);
    return new Promise(resolve => {
        const req = request({
            ...entry,
            method: "POST",
            path: "/v1/chat/completions",
            agent: false,
            headers: {
                "content-type": "application/json",
                "content-length": String(Buffer.byteLength(text)),
                "x-workspace": job.workspace,
                "x-priority": job.priority,
                ...(received.count > 0 ? { "last-event-id": String(received.count) } : {}),
                ...(result.endpoints.length > 0 ? { "x-endpoint": result.endpoints.at(-1) } : {}),
            },
        });
        let done = false;
        req.on("error", () => resolve(result.accepted ? "cut" : "refused"));
        req.on("response", res => {
            if (res.statusCode !== 200) {
                result.problem = `status ${res.statusCode}`;
                res.resume();
                res.on("end", () => resolve("refused"));
                return;
            }
            result.accepted = true;
            result.problem = undefined;
            result.endpoints.push(String(res.headers["x-endpoint"]));
            const parser = createParser({
                onEvent: event => {
                    if (event.data === "[DONE]") {
                        done = true;
                    }
                    else if (event.event === "error") {
                        result.problem = event.data;
                    }
                    else {
                        takeToken(event.data, Number(event.id), received, result);
                    }
                },
            });
            res.setEncoding("utf8");
            res.on("data", (part: string) => parser.feed(part));
            res.on("error", () => resolve(done ? "done" : "cut"));
            res.on("close", () => resolve(done ? "done" : "cut"));
        });
        req.end(text);
    });
}

function takeToken(data: string, id: number, received: Received, result: ChatResult): void {
    if (id !== received.count + 1) {
        result.problem = `event ${id} follows event ${received.count}`;
    }
    const chunk = JSON.parse(data) as { choices: { delta: { content: string; }; }[]; };
    received.text += chunk.choices[0]?.delta.content ?? "";
    received.count++;
    if (received.count === 1) {
        result.firstTokenMs = Date.now() - result.startedAt;
    }
}
