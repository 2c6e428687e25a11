import type { Address, ChatInput } from "@lentilramp/stand-ins";
import { createParser } from "eventsource-parser";
import { request } from "node:http";

export interface ReceivedStream {
    status: number;
    resumeOffset: number;
    tokens: { offset: number; text: string; }[];
    done: boolean;
    /** True when the connection ended without the end of the answer. */
    cut: boolean;
}

/** Reads a stream to its end; `onToken` may return false to disconnect. */
export async function readStream(
    address: Address,
    body: ChatInput,
    headers: Record<string, string> = {},
    onToken: (count: number, token: { offset: number; text: string; }) => boolean = () => true,
): Promise<ReceivedStream> {
    const received: ReceivedStream = { status: 0, resumeOffset: 0, tokens: [], done: false, cut: false };
    return await new Promise(resolve => {
        const finish = () => {
            received.cut = !received.done;
            resolve(received);
        };
        const req = request(
            { ...address, method: "POST", path: "/v1/chat/completions", headers, agent: false },
            res => {
                received.status = res.statusCode ?? 0;
                received.resumeOffset = Number(res.headers["x-resume-offset"]);
                const parser = createParser({
                    onEvent: event => {
                        if (event.data === "[DONE]") {
                            received.done = true;
                            return;
                        }
                        const chunk = JSON.parse(event.data) as {
                            token_offset: number;
                            choices: { delta: { content: string; }; }[];
                        };
                        const token = { offset: chunk.token_offset, text: chunk.choices[0]!.delta.content };
                        received.tokens.push(token);
                        if (!onToken(received.tokens.length, token)) {
                            req.destroy();
                        }
                    },
                });
                res.setEncoding("utf8");
                res.on("data", (text: string) => parser.feed(text));
                res.on("error", finish);
                res.on("close", finish);
            },
        );
        req.on("error", finish);
        req.end(JSON.stringify({ ...body, stream: true }));
    });
}

export const textOf = (stream: ReceivedStream) => stream.tokens.map(token => token.text);
