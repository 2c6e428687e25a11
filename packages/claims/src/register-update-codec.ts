import { decode, decodeMulti, encode } from "@msgpack/msgpack";
import { parse, stringify } from "uuid";
import type { Register } from "./messages.ts";
import type { Outcome } from "./outcome.ts";

/** The whole new register of a key, which is appended to the journal before the reply is sent. */
export interface RegisterUpdate {
    key: string;
    register: Register;
}

type OutcomeTuple = [] | [number, string, string, number, Uint8Array | undefined];
type RegisterUpdateTuple = [Uint8Array] | [Uint8Array, string, string, number, OutcomeTuple?];

function toOutcomeTuple(outcome: Outcome): OutcomeTuple {
    return outcome.kind === "not-run"
        ? []
        : [outcome.status, outcome.contentType, outcome.bodyDigest, outcome.bodyBytes, outcome.body];
}

function fromOutcomeTuple(tuple: OutcomeTuple): Outcome {
    if (tuple.length === 0) {
        return { kind: "not-run" };
    }
    const [status, contentType, bodyDigest, bodyBytes, body] = tuple;
    // The body is copied, because the decoded bytes are a view that would keep the whole input in memory.
    return {
        kind: "completed",
        status,
        contentType,
        bodyDigest,
        bodyBytes,
        body: body instanceof Uint8Array ? Uint8Array.from(body) : undefined,
    };
}

function toTuple({ key, register }: RegisterUpdate): RegisterUpdateTuple {
    const keyBytes = parse(key);
    if (register.kind !== "claimed") {
        return [keyBytes];
    }
    const { claimant, digest, dispatchDeadline, outcome } = register;
    return outcome === undefined
        ? [keyBytes, claimant, digest, dispatchDeadline]
        : [keyBytes, claimant, digest, dispatchDeadline, toOutcomeTuple(outcome)];
}

function fromTuple(tuple: RegisterUpdateTuple): RegisterUpdate {
    const key = stringify(tuple[0]);
    if (tuple.length === 1) {
        return { key, register: { kind: "sealed" } };
    }
    const [, claimant, digest, dispatchDeadline, outcome] = tuple;
    return {
        key,
        register: {
            kind: "claimed",
            claimant,
            digest,
            dispatchDeadline,
            outcome: outcome === undefined ? undefined : fromOutcomeTuple(outcome),
        },
    };
}

export function encodeRegisterUpdate(update: RegisterUpdate): Uint8Array {
    return encode(toTuple(update));
}

export function decodeRegisterUpdate(data: Uint8Array): RegisterUpdate {
    return fromTuple(decode(data) as RegisterUpdateTuple);
}

/** State of a replica: all its registers, and the issue time before which records have been dropped. */
export interface ClaimSnapshot {
    droppedThrough: number;
    registers: RegisterUpdate[];
}

/** Encodes a part of a snapshot, which is a sequence of encoded values: lists of registers, then `droppedThrough`. */
export function encodeSnapshotRecords(registers: readonly RegisterUpdate[]): Uint8Array {
    return encode(registers.map(toTuple));
}

export function encodeSnapshotEnd(droppedThrough: number): Uint8Array {
    return encode(droppedThrough);
}

export function decodeSnapshot(data: Uint8Array): ClaimSnapshot {
    const registers: RegisterUpdate[] = [];
    let droppedThrough = 0;
    for (const value of decodeMulti(data) as Iterable<RegisterUpdateTuple[] | number>) {
        if (typeof value === "number") {
            droppedThrough = value;
        }
        else {
            value.forEach(tuple => registers.push(fromTuple(tuple)));
        }
    }
    return { droppedThrough, registers };
}
