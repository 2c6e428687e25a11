import { requestKey } from "@lentilramp/fleet";
import { createHash } from "node:crypto";

const fingerprintBytes = 16;

/** The parts of a request that are the same each time it comes again, at any ingress. */
export interface RepeatedRequest {
    workspace: string;
    method: string;
    /** Host of the caller's request; its case and port do not distinguish requests. */
    host: string;
    /** Target of the request line with its query. */
    target: string;
    body: Uint8Array;
}

/** Returns the key under which the fleet knows a request that comes again. */
export function fingerprintRequest({ workspace, method, host, target, body }: RepeatedRequest): string {
    const hash = createHash("sha256");
    for (const field of [workspace, method, host.toLowerCase().replace(/:\d+$/, ""), target]) {
        // The length marks the end of a field, so that two different requests are never hashed as the same bytes.
        hash.update(`${Buffer.byteLength(field)}:${field}`);
    }
    return requestKey(hash.update(body).digest().subarray(0, fingerprintBytes).toString("base64url"));
}
