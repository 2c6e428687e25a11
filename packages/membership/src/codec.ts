import { decode, encode } from "@msgpack/msgpack";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";
import { z } from "zod";
import { type Message, messageKinds } from "./message.ts";
import { fromWire, toWire, wireUpdateSchema } from "./update-codec.ts";

/** Bound on a datagram; below the smallest usual MTU minus headers, so that none is fragmented. */
export const maxDatagramBytes = 1_199;
/** HMAC-SHA-256 truncated to 128 bits. */
export const macBytes = 16;
const wireFormat = 1;

const wireSchema = z.tuple([
    z.literal(wireFormat),
    z.int().min(0).max(messageKinds.length - 1),
    z.string().min(1).max(128),
    z.int().min(0),
    z.int().min(0),
    z.string().max(128),
    z.array(wireUpdateSchema),
]);

/** Why a datagram was dropped. */
export interface CodecError {
    kind: "too-large" | "mac" | "format";
    message: string;
}

function mac(key: Uint8Array, body: Uint8Array): Buffer {
    return createHmac("sha256", key).update(body).digest().subarray(0, macBytes);
}

/** Encodes messages as msgpack with an HMAC in front. Further keys are accepted on receipt only, to change the key. */
export class MembershipCodec {
    constructor(private readonly key: Uint8Array, private readonly acceptedKeys: readonly Uint8Array[] = []) {}

    encode(message: Message): Result<Uint8Array, CodecError> {
        const { kind, from, incarnation, seq, updates } = message;
        const target = "target" in message ? message.target : "";
        const kindCode = messageKinds.indexOf(kind);
        const body = encode([wireFormat, kindCode, from, incarnation, seq, target, updates.map(toWire)]);
        const size = macBytes + body.byteLength;
        if (size > maxDatagramBytes) {
            return Err({ kind: "too-large", message: `a datagram of ${size} bytes exceeds ${maxDatagramBytes}` });
        }
        return Ok(Buffer.concat([mac(this.key, body), body]));
    }

    /** Checks size and HMAC before anything is decoded. */
    decode(datagram: Uint8Array): Result<Message, CodecError> {
        if (datagram.byteLength > maxDatagramBytes || datagram.byteLength <= macBytes) {
            return Err({ kind: "too-large", message: `a datagram of ${datagram.byteLength} bytes is not accepted` });
        }
        const body = datagram.subarray(macBytes);
        const received = datagram.subarray(0, macBytes);
        if (![this.key, ...this.acceptedKeys].some(key => timingSafeEqual(mac(key, body), received))) {
            return Err({ kind: "mac", message: "the HMAC does not match any key" });
        }
        try {
            const parsed = wireSchema.safeParse(decode(body));
            if (!parsed.success) {
                return Err({ kind: "format", message: parsed.error.message });
            }
            const [, kindCode, from, incarnation, seq, target, updates] = parsed.data;
            const kind = messageKinds[kindCode] ?? "ping";
            const common = { from, incarnation, seq, updates: updates.map(fromWire) };
            const plain = kind === "ping" || kind === "ack" || kind === "nack";
            return Ok(plain ? { ...common, kind } : { ...common, kind, target });
        }
        catch (err) {
            return Err({ kind: "format", message: String(err) });
        }
    }
}
