import murmurhash from "murmurhash";

const charactersPerToken = 4;
/** Tokens in one block of an engine's prefix cache (docs/protocols.md). */
export const tokensPerBlock = 16;
const hashDigits = 8;

export interface ChatMessage {
    role: string;
    content: string;
}

function promptText(messages: readonly ChatMessage[]): string {
    return messages.map(message => `${message.role}: ${message.content}\n`).join("");
}

/** Estimates the prompt tokens of a conversation as the engines do: one for each four characters. */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
    return Math.ceil(promptText(messages).length / charactersPerToken);
}

/** Hashes of the complete prompt blocks, chained from the model name, as engines publish them in cache events. */
export function hashPromptBlocks(model: string, messages: readonly ChatMessage[]): number[] {
    const text = promptText(messages);
    const size = charactersPerToken * tokensPerBlock;
    const hashes: number[] = [];
    let previous = model;
    for (let start = 0; start + size <= text.length; start += size) {
        const hash = murmurhash.v3(`${previous}:${text.slice(start, start + size)}`);
        hashes.push(hash);
        previous = hash.toString(16).padStart(hashDigits, "0");
    }
    return hashes;
}
