import { createHash } from "node:crypto";

/**
 * Returns the SHA-256 of operation and body in base64url. The length prefix marks the end of the operation, so that two
 * different pairs of operation and body are never hashed as the same bytes.
 */
export function requestDigest(operation: string, body: Uint8Array): string {
    return createHash("sha256").update(`${Buffer.byteLength(operation)}:${operation}`).update(body).digest("base64url");
}
