import { createHash } from "node:crypto";

const digestHexDigits = 16;

/**
 * Returns an operation id derived from the intent of an order. Two lease holders with the same intent get the same id,
 * and an intent based on a different observed fleet gets a different id.
 */
export function operationId(kind: string, ...intent: readonly (string | number)[]): string {
    const digest = createHash("sha256").update(JSON.stringify(intent)).digest("hex").slice(0, digestHexDigits);
    return `placement-${kind}-${digest}`;
}
