import { createHash } from "node:crypto";

/** SHA-256 of operation and body in base64url; the length prefix keeps the two apart. */
export function requestDigest(operation: string, body: Uint8Array): string {
    return createHash("sha256").update(`${Buffer.byteLength(operation)}:${operation}`).update(body).digest("base64url");
}
