import { encode } from "@msgpack/msgpack";
import { z } from "zod";
import { memberStatuses, type Update } from "./member.ts";

/** Encoded update: `[status, id, incarnation]`, followed by host and port if the status is `alive`. */
export const encodedUpdateSchema = z.union([
    z.tuple([z.int().min(0).max(memberStatuses.length - 1), z.string().min(1).max(128), z.int().min(0)]),
    z.tuple([
        z.literal(0),
        z.string().min(1).max(128),
        z.int().min(0),
        z.string().min(1).max(253),
        z.int().min(1).max(65_535),
    ]),
]);
export type EncodedUpdate = z.infer<typeof encodedUpdateSchema>;

export function encodeUpdate(update: Update): EncodedUpdate {
    const { id, status, incarnation, address } = update;
    if (status === "alive" && address !== undefined) {
        return [0, id, incarnation, address.host, address.port];
    }
    return [memberStatuses.indexOf(status), id, incarnation];
}

export function decodeUpdate(encoded: EncodedUpdate): Update {
    const [code, id, incarnation, host, port] = encoded;
    const status = memberStatuses[code] ?? "alive";
    return host === undefined || port === undefined
        ? { id, status, incarnation }
        : { id, status, incarnation, address: { host, port } };
}

/** Returns the encoded size of an update in bytes. */
export function updateBytes(update: Update): number {
    return encode(encodeUpdate(update)).byteLength;
}
