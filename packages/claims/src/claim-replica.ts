import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { ClaimRules } from "./claim-rules.ts";
import { allClaimRules } from "./claim-rules.ts";
import { ClaimTable, RECORD_MEMORY_BYTES, registerBytes } from "./claim-table.ts";
import { CLOCK_TOLERANCE_MS, MAX_OUTCOME_BODY_BYTES } from "./constants.ts";
import type { ClaimMessage, ClaimOperation, ClaimRefusal, ClaimReply, Register } from "./messages.ts";
import { boundedOutcome } from "./outcome.ts";
import type { RegisterUpdate } from "./register-update-codec.ts";
import {
    decodeRegisterUpdate,
    decodeSnapshot,
    encodeSnapshotEnd,
    encodeSnapshotRecords,
} from "./register-update-codec.ts";
import type { RequestKey } from "./request-key.ts";
import { checkKeyWindow, parseRequestKey } from "./request-key.ts";

/** Counted memory of the records in one snapshot chunk: about 340 records, which take 2 to 3 ms to encode. */
const CHUNK_BYTES = 256 * 1024;

export interface ClaimReplicaOptions {
    /** Maximum counted memory in bytes. */
    memoryBytes: number;
    rules: ClaimRules;
}

export const defaultClaimReplicaOptions: ClaimReplicaOptions = {
    memoryBytes: 512 * 1024 * 1024,
    rules: allClaimRules,
};

/** Reply to a message, and the register update that must be synced and applied before the reply is sent. */
export interface ClaimDecision {
    reply: ClaimReply;
    update: RegisterUpdate | undefined;
}

export interface ClaimReplicaStatus {
    identity: string;
    records: number;
    memoryBytes: number;
    memoryLimitBytes: number;
    droppedThrough: number;
}

/**
 * Registers of one claim replica. A register keeps the first record written to it; after that, only the outcome of that
 * record is added. `decide` does not change the state: the caller syncs the update, applies it, then sends the reply,
 * and decides no other message for the same key in between.
 */
export class ClaimReplica {
    private readonly table = new ClaimTable();
    private readonly options: ClaimReplicaOptions;

    constructor(readonly identity: string, options: Partial<ClaimReplicaOptions> = {}) {
        this.options = { ...defaultClaimReplicaOptions, ...options };
    }

    get status(): ClaimReplicaStatus {
        const { records, memoryBytes, droppedThrough } = this.table;
        return {
            identity: this.identity,
            records,
            memoryBytes,
            memoryLimitBytes: this.options.memoryBytes,
            droppedThrough,
        };
    }

    decide(message: ClaimMessage, now: number): ClaimDecision {
        if (this.options.rules.identityCheck && message.replica !== this.identity) {
            return this.refuse("wrong-identity");
        }
        const key = parseRequestKey(message.key).andThen(parsed => this.checkWindow(parsed, now));
        if (key.isErr()) {
            return this.refuse(key.error);
        }
        const current = this.table.get(key.value);
        const next = this.transition(current, message.operation);
        if (next.isErr()) {
            return this.refuse(next.error);
        }
        const register = next.value;
        return {
            reply: { kind: "register", replica: message.replica, register },
            update: register === current ? undefined : { key: key.value.text, register },
        };
    }

    /** Applies a synced update. */
    apply(update: RegisterUpdate): void {
        this.table.put(parseRequestKey(update.key).unwrap(), update.register);
    }

    /** Drops expired records and returns how many were dropped. */
    expire(now: number): number {
        return this.table.expire(now);
    }

    /**
     * Encodes the state in chunks. Updates may be applied between two chunks: an update holds a whole register, so
     * replaying the journal records written since the first chunk brings the restored state up to date.
     */
    *snapshotChunks(): IterableIterator<Uint8Array> {
        let registers: RegisterUpdate[] = [];
        let chunkBytes = 0;
        for (const [key, register] of this.table.entries()) {
            registers.push({ key, register });
            chunkBytes += registerBytes(register);
            if (chunkBytes >= CHUNK_BYTES) {
                yield encodeSnapshotRecords(registers);
                registers = [];
                chunkBytes = 0;
            }
        }
        yield encodeSnapshotRecords(registers);
        // Read last, because records may be dropped between two chunks.
        yield encodeSnapshotEnd(this.table.droppedThrough);
    }

    /** Restores the state from a snapshot and the journal records that follow it. */
    restore(snapshot: Uint8Array | undefined, records: readonly Uint8Array[]): void {
        if (snapshot !== undefined) {
            const { droppedThrough, registers } = decodeSnapshot(snapshot);
            this.table.raiseDroppedThrough(droppedThrough);
            registers.forEach(register => this.apply(register));
        }
        records.forEach(record => this.apply(decodeRegisterUpdate(record)));
    }

    private checkWindow(key: RequestKey, now: number): Result<RequestKey, ClaimRefusal> {
        if (!this.options.rules.expiryCheck) {
            return Ok(key);
        }
        // A key whose record was dropped stays expired, even if the clock is set back before a restart.
        if (key.issuedAt < this.table.droppedThrough) {
            return Err("expired");
        }
        return checkKeyWindow(key, now, 2 * CLOCK_TOLERANCE_MS).map(() => key);
    }

    private transition(current: Register, operation: ClaimOperation): Result<Register, ClaimRefusal> {
        switch (operation.kind) {
            case "read":
                return Ok(current);
            case "seal":
                return this.writeOnce(current, { kind: "sealed" });
            case "write":
                return this.writeOnce(current, { ...operation.record, kind: "claimed", outcome: undefined });
            case "outcome":
                return this.addOutcome(current, operation);
        }
    }

    private writeOnce(current: Register, record: Register): Result<Register, ClaimRefusal> {
        if (current.kind !== "empty") {
            return Ok(current);
        }
        return this.freeBytes >= RECORD_MEMORY_BYTES ? Ok(record) : Err("full");
    }

    /**
     * Adds the outcome of a claimant to its record. An empty register takes both at once, which is the same as writing
     * the record first.
     */
    private addOutcome(
        current: Register,
        operation: ClaimOperation & { kind: "outcome"; },
    ): Result<Register, ClaimRefusal> {
        const { claimant } = operation.record;
        if (current.kind === "sealed") {
            return Ok(current);
        }
        if (current.kind === "claimed" && (current.claimant !== claimant || current.outcome !== undefined)) {
            return Ok(current);
        }
        const newRecordBytes = current.kind === "empty" ? RECORD_MEMORY_BYTES : 0;
        if (this.freeBytes < newRecordBytes) {
            return Err("full");
        }
        // Without memory for the body, digest and status are still stored, so that the call counts as completed.
        const outcome = boundedOutcome(
            operation.outcome,
            Math.min(MAX_OUTCOME_BODY_BYTES, this.freeBytes - newRecordBytes),
        );
        return Ok({ ...operation.record, kind: "claimed", outcome });
    }

    private get freeBytes(): number {
        return Math.max(0, this.options.memoryBytes - this.table.memoryBytes);
    }

    private refuse(reason: ClaimRefusal): ClaimDecision {
        return { reply: { kind: "refused", replica: this.identity, reason }, update: undefined };
    }
}
