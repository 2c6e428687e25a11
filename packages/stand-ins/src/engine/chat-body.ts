import murmurhash from "murmurhash";
import { z } from "zod";

/** Body of `POST /v1/chat/completions`. */
export const chatBody = z.looseObject({
    model: z.string().default("default"),
    messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
    stream: z.boolean().default(false),
    /** Number of tokens of the answer. */
    max_tokens: z.number().int().positive().max(100_000).default(64),
    seed: z.number().int().default(0),
    /** Text received so far and the number of its tokens; both are given to resume. */
    resume_text: z.string().optional(),
    resume_offset: z.number().int().min(0).optional(),
});

export type ChatBody = z.infer<typeof chatBody>;
export type ChatInput = z.input<typeof chatBody>;

const charactersPerToken = 4;
export const tokensPerBlock = 16;
const words = [
    " lens",
    " coop",
    " crew",
    " hire",
    " flock",
    " quote",
    " feed",
    " day",
    " desk",
    " rent",
    " claim",
    " grain",
];

function promptText(body: ChatBody): string {
    return body.messages.map(message => `${message.role}: ${message.content}\n`).join("");
}

/** Number of prompt tokens: one for each four characters of the prompt text. */
export function promptTokens(body: ChatInput): number {
    return Math.ceil(promptText(chatBody.parse(body)).length / charactersPerToken);
}

/**
 * Hashes of the complete prompt blocks of 16 tokens (64 characters). Each hash is the MurmurHash3 (32 bits, seed 0,
 * eight hexadecimal digits) of `<previous hash>:<text of the block>`; the first uses the model as previous hash.
 */
export function promptBlocks(body: ChatInput): string[] {
    const parsed = chatBody.parse(body);
    const text = promptText(parsed);
    const size = charactersPerToken * tokensPerBlock;
    const hashes: string[] = [];
    let previous = parsed.model;
    for (let start = 0; start + size <= text.length; start += size) {
        previous = murmurhash.v3(`${previous}:${text.slice(start, start + size)}`).toString(16).padStart(8, "0");
        hashes.push(previous);
    }
    return hashes;
}

/** Identifies the request apart from its resume fields: equal fingerprints have equal answers. */
export function chatFingerprint(body: ChatInput): string {
    const parsed = chatBody.parse(body);
    return murmurhash.v3(JSON.stringify([parsed.model, parsed.seed, promptText(parsed)])).toString(16);
}

/** The whole answer to a request, token by token; the resume fields do not change it. */
export function expectedTokens(body: ChatInput): string[] {
    const fingerprint = chatFingerprint(body);
    const count = chatBody.parse(body).max_tokens;
    return Array.from(Array(count).keys(), offset => {
        const hash = murmurhash.v3(`${fingerprint}:${offset}`);
        return `${words[hash % words.length] ?? ""}${hash % 997}`;
    });
}
