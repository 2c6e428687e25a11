import { createHash } from "node:crypto";

const digestLength = 16;

/**
 * Operation id derived from the intention of an order. Two holders that intend the same get the same id, and an
 * intention based on another observed fleet gets another id.
 */
export function operationId(kind: string, ...intention: readonly (string | number)[]): string {
    const digest = createHash("sha256").update(JSON.stringify(intention)).digest("hex").slice(0, digestLength);
    return `placement-${kind}-${digest}`;
}
