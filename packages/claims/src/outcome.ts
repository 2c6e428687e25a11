import { createHash } from "node:crypto";
import { MAX_OUTCOME_BODY_BYTES } from "./constants.ts";

/** The first answer of an executed call. `body` is undefined if it was too large or the replica was short of memory. */
export interface CompletedOutcome {
    kind: "completed";
    status: number;
    contentType: string;
    /** SHA-256 of the whole body in base64url. */
    bodyDigest: string;
    bodyBytes: number;
    body: Uint8Array | undefined;
}

/** The claimant has not sent a byte of the call and never will. */
export interface NotRunOutcome {
    kind: "not-run";
}

export type Outcome = CompletedOutcome | NotRunOutcome;

/** Number of characters of a content type that are stored, which bounds the memory; real ones are far shorter. */
const maxContentTypeLength = 256;

/** Builds the outcome of an answer. Of a body over 64 KiB, only digest and size are stored. */
export function completedOutcome(status: number, contentType: string, body: Uint8Array): CompletedOutcome {
    return {
        kind: "completed",
        status,
        contentType: contentType.slice(0, maxContentTypeLength),
        bodyDigest: createHash("sha256").update(body).digest("base64url"),
        bodyBytes: body.length,
        body: body.length <= MAX_OUTCOME_BODY_BYTES ? body : undefined,
    };
}

/** Returns the outcome, without its body if the body exceeds `limit` bytes. */
export function boundedOutcome(outcome: Outcome, limit: number): Outcome {
    return outcome.kind === "completed" && (outcome.body?.length ?? 0) > limit
        ? { ...outcome, body: undefined }
        : outcome;
}
