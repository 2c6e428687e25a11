import type { IncomingHttpHeaders } from "node:http";

/**
 * Header fields that describe the bytes of one body: their number, range, digests and validators. An answer whose body
 * is not, or may not be, the body of that head is sent without them. Hop-by-hop fields, `Trailer` among them, are never
 * sent on.
 */
export const bodyFields: ReadonlySet<string> = new Set([
    "content-digest",
    "content-length",
    "content-md5",
    "content-range",
    "digest",
    "etag",
    "last-modified",
    "repr-digest",
]);

/** Fields of a length, which make a body look complete as soon as it has as many bytes. */
export const lengthFields: ReadonlySet<string> = new Set(["content-length"]);

/** How the bytes of a body are to be read. */
export interface BodyFormat {
    mediaType: string | undefined;
    /** Whether the bytes are those of an encoder, whose state no other body shares. */
    isEncoded: boolean;
}

/** Returns the format of a body by the head of its answer. */
export function bodyFormat(headers: IncomingHttpHeaders): BodyFormat {
    const encoding = headers["content-encoding"]?.trim().toLowerCase() ?? "identity";
    return {
        mediaType: headers["content-type"]?.split(";")[0]?.trim().toLowerCase(),
        isEncoded: encoding !== "" && encoding !== "identity",
    };
}
