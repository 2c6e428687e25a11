import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { parse, validate, version } from "uuid";
import { ISSUE_TOLERANCE_MS, RETENTION_MS } from "./constants.ts";

const uuidVersion = 7;

/** Parsed idempotency key of a call. */
export interface RequestKey {
    /** UUIDv7 in lower case. */
    text: string;
    /** Issue time embedded in the key, in milliseconds since the epoch. */
    issuedAt: number;
}

/** Parses an idempotency key, which must be a UUIDv7. */
export function parseRequestKey(text: string): Result<RequestKey, "invalid-key"> {
    if (!validate(text) || version(text) !== uuidVersion) {
        return Err("invalid-key");
    }
    const [a = 0, b = 0, c = 0, d = 0, e = 0, f = 0] = parse(text);
    const issuedAt = ((a << 8) | b) * 2 ** 32 + ((c << 24 | d << 16 | e << 8 | f) >>> 0);
    return Ok({ text: text.toLowerCase(), issuedAt });
}

/** Checks that a key is less than 24 h old and was issued at most 5 min plus `slackMs` ahead of `now`. */
export function checkKeyWindow(key: RequestKey, now: number, slackMs = 0): Result<void, "expired" | "issued-ahead"> {
    if (now >= key.issuedAt + RETENTION_MS) {
        return Err("expired");
    }
    return key.issuedAt > now + ISSUE_TOLERANCE_MS + slackMs ? Err("issued-ahead") : Ok(undefined);
}
