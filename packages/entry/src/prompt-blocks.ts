import murmurhash from "murmurhash";

const charactersPerToken = 4;
/** Number of tokens in one block of an engine's prefix cache (docs/protocols.md). */
export const tokensPerBlock = 16;
const hashDigits = 8;

export interface ChatMessage {
    role: string;
    content: string;
}

function promptText(messages: readonly ChatMessage[]): string {
    return messages.map(message => `${message.role}: ${message.content}\n`).join("");
}

/** Estimates the number of prompt tokens as the engines do: one token for each four characters. */
export function countPromptTokens(messages: readonly ChatMessage[]): number {
    return Math.ceil(promptText(messages).length / charactersPerToken);
}

/**
 * Returns the hashes of the complete prompt blocks, as engines publish them in cache events. Each hash includes the
 * previous one; the first includes the model name.
 */
export function hashPromptBlocks(model: string, messages: readonly ChatMessage[]): number[] {
    const text = promptText(messages);
    const blockCharacters = charactersPerToken * tokensPerBlock;
    const hashes: number[] = [];
    let previousHash = model;
    for (let start = 0; start + blockCharacters <= text.length; start += blockCharacters) {
        const hash = murmurhash.v3(`${previousHash}:${text.slice(start, start + blockCharacters)}`);
        hashes.push(hash);
        previousHash = hash.toString(16).padStart(hashDigits, "0");
    }
    return hashes;
}
