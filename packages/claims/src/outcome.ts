import { createHash } from "node:crypto";
import { MAX_OUTCOME_BODY_BYTES } from "./constants.ts";

/** The first answer of an executed call. `body` is missing when it was too large or memory was short. */
export interface CompletedOutcome {
    kind: "completed";
    status: number;
    contentType: string;
    /** SHA-256 of the whole body in base64url. */
    bodyDigest: string;
    bodyBytes: number;
    body: Uint8Array | undefined;
}

/** The claimant did not send a byte and never will. */
export interface NotRunOutcome {
    kind: "not-run";
}

export type Outcome = CompletedOutcome | NotRunOutcome;

/** Longest content type that is kept; real ones are far shorter, and memory must stay bounded. */
const contentTypeLength = 256;

/** Builds the outcome of an answer; a body over 64 KiB is kept as digest and status. */
export function completedOutcome(status: number, contentType: string, body: Uint8Array): CompletedOutcome {
    return {
        kind: "completed",
        status,
        contentType: contentType.slice(0, contentTypeLength),
        bodyDigest: createHash("sha256").update(body).digest("base64url"),
        bodyBytes: body.length,
        body: body.length <= MAX_OUTCOME_BODY_BYTES ? body : undefined,
    };
}

/** Returns the outcome without its body when that is over `limit` bytes. */
export function boundedOutcome(outcome: Outcome, limit: number): Outcome {
    return outcome.kind === "completed" && (outcome.body?.length ?? 0) > limit
        ? { ...outcome, body: undefined }
        : outcome;
}
