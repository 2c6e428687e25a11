import { decode, encode } from "@msgpack/msgpack";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { type Message, messageKinds } from "./message.ts";
import { decodeUpdate, encodedUpdateSchema, encodeUpdate } from "./update-codec.ts";

/** Largest datagram; smaller than the smallest usual MTU minus headers, so that no datagram is fragmented. */
export const maxDatagramBytes = 1_199;
/** Size of the MAC, an HMAC-SHA-256 truncated to 128 bits. */
export const macBytes = 16;
const formatVersion = 1;

const wireSchema = z.tuple([
    z.literal(formatVersion),
    z.int().min(0).max(messageKinds.length - 1),
    z.string().min(1).max(128),
    z.int().min(0),
    z.int().min(0),
    z.string().max(128),
    z.array(encodedUpdateSchema),
]);

/** Reason why a message was not encoded or a datagram was not decoded. */
export interface CodecError {
    kind: "too-large" | "mac" | "format";
    message: string;
}

function computeMac(key: Uint8Array, body: Uint8Array): Buffer {
    return createHmac("sha256", key).update(body).digest().subarray(0, macBytes);
}

/**
 * Encodes messages as an HMAC followed by msgpack. `acceptedKeys` are accepted in received datagrams in addition to
 * `key`, so that the key can be changed while processes run.
 */
export class MembershipCodec {
    constructor(private readonly key: Uint8Array, private readonly acceptedKeys: readonly Uint8Array[] = []) {}

    encode(message: Message): Result<Uint8Array, CodecError> {
        const { kind, from, incarnation, seq, updates } = message;
        const target = "target" in message ? message.target : "";
        const kindCode = messageKinds.indexOf(kind);
        const body = encode([formatVersion, kindCode, from, incarnation, seq, target, updates.map(encodeUpdate)]);
        const size = macBytes + body.byteLength;
        if (size > maxDatagramBytes) {
            return Err({ kind: "too-large", message: `a datagram of ${size} bytes exceeds ${maxDatagramBytes}` });
        }
        return Ok(Buffer.concat([computeMac(this.key, body), body]));
    }

    /** Decodes a datagram after a check of its size and HMAC. */
    decode(datagram: Uint8Array): Result<Message, CodecError> {
        if (datagram.byteLength > maxDatagramBytes || datagram.byteLength <= macBytes) {
            return Err({ kind: "too-large", message: `a datagram of ${datagram.byteLength} bytes is not accepted` });
        }
        const body = datagram.subarray(macBytes);
        const received = datagram.subarray(0, macBytes);
        if (![this.key, ...this.acceptedKeys].some(key => timingSafeEqual(computeMac(key, body), received))) {
            return Err({ kind: "mac", message: "the HMAC does not match any key" });
        }
        try {
            const parsed = wireSchema.safeParse(decode(body));
            if (!parsed.success) {
                return Err({ kind: "format", message: parsed.error.message });
            }
            const [, kindCode, from, incarnation, seq, target, updates] = parsed.data;
            const kind = messageKinds[kindCode] ?? "ping";
            const common = { from, incarnation, seq, updates: updates.map(decodeUpdate) };
            const hasNoTarget = kind === "ping" || kind === "ack" || kind === "nack";
            return Ok(hasNoTarget ? { ...common, kind } : { ...common, kind, target });
        }
        catch (err) {
            return Err({ kind: "format", message: String(err) });
        }
    }
}
