/** Headers that concern one connection and are never passed on. */
const hopNames = new Set([
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

/** Copies a flat list of header names and values without those of the connection and those in `dropped`. */
export function stripHopByHopHeaders(raw: readonly string[], dropped: ReadonlySet<string> = new Set()): string[] {
    const named = new Set<string>();
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (raw[i]?.toLowerCase() === "connection") {
            for (const name of (raw[i + 1] ?? "").split(",")) {
                named.add(name.trim().toLowerCase());
            }
        }
    }
    const kept: string[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        const name = (raw[i] ?? "").toLowerCase();
        if (!hopNames.has(name) && !dropped.has(name) && !(named.has(name) && name !== "content-length")) {
            kept.push(raw[i] ?? "", raw[i + 1] ?? "");
        }
    }
    return kept;
}
