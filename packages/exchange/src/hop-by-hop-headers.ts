/** Hop-by-hop headers, which apply to one connection and are never forwarded. */
const hopByHopNames = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** A header name as HTTP defines it. The parser of Node.js also accepts empty names and spaces; its writer throws. */
const headerName = /^[!#$%&'*+\-.^_`|~\w]+$/;

/** Whether a flat list of header names and values has a name that HTTP does not allow. */
export function hasInvalidHeaderName(raw: readonly string[]): boolean {
    return raw.some((name, i) => i % 2 === 0 && !headerName.test(name));
}

/**
 * Returns a copy of a flat list of header names and values without hop-by-hop headers, headers that `Connection` lists,
 * invalid names, and those in `excluded`.
 */
export function stripHopByHopHeaders(raw: readonly string[], excluded: ReadonlySet<string> = new Set()): string[] {
    const connectionOptions = new Set<string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.toLowerCase() === "connection") {
            for (const name of (raw[i + 1] ?? "").split(",")) {
                connectionOptions.add(name.trim().toLowerCase());
            }
        }
    }
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] ?? "").toLowerCase();
        if (
            !hopByHopNames.has(name) && !excluded.has(name) && headerName.test(name)
            && !(connectionOptions.has(name) && name !== "content-length")
        ) {
            kept.push(raw[i] ?? "", raw[i + 1] ?? "");
        }
    }
    return kept;
}
