import { encode } from "@msgpack/msgpack";
import { z } from "zod";
import { memberStatuses, type Update } from "./member.ts";

/** `[status, id, incarnation]`, and host and port for `alive`. */
export const wireUpdateSchema = z.union([
    z.tuple([z.int().min(0).max(memberStatuses.length - 1), z.string().min(1).max(128), z.int().min(0)]),
    z.tuple([
        z.literal(0),
        z.string().min(1).max(128),
        z.int().min(0),
        z.string().min(1).max(253),
        z.int().min(1).max(65_535),
    ]),
]);
export type WireUpdate = z.infer<typeof wireUpdateSchema>;

export function toWire(update: Update): WireUpdate {
    const { id, status, incarnation, address } = update;
    if (status === "alive" && address !== undefined) {
        return [0, id, incarnation, address.host, address.port];
    }
    return [memberStatuses.indexOf(status), id, incarnation];
}

export function fromWire(wire: WireUpdate): Update {
    const [code, id, incarnation, host, port] = wire;
    const status = memberStatuses[code] ?? "alive";
    return host === undefined || port === undefined
        ? { id, status, incarnation }
        : { id, status, incarnation, address: { host, port } };
}

/** Bytes of an update within a datagram. */
export function updateBytes(update: Update): number {
    return encode(toWire(update)).byteLength;
}
