import type { Clock } from "@lentilramp/runtime";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { ClaimRules } from "./claim-rules.ts";
import { allClaimRules } from "./claim-rules.ts";
import type { ClaimTransport } from "./claim-transport.ts";
import { Claim } from "./claim.ts";
import { QUORUM } from "./constants.ts";
import type { CoordinatorOptions } from "./coordinator-options.ts";
import { coordinatorOptionsSchema } from "./coordinator-options.ts";
import type { ClaimGeneration, SelectionError } from "./generations.ts";
import { selectReplicas } from "./generations.ts";
import type { KeyState } from "./key-state.ts";
import { resolveKeyState } from "./key-state.ts";
import type { ClaimOperation, ClaimRecord } from "./messages.ts";
import type { CompletedOutcome } from "./outcome.ts";
import type { RoundContext } from "./replica-round.ts";
import { ReplicaViews, runRound } from "./replica-round.ts";
import { checkKeyWindow, parseRequestKey } from "./request-key.ts";

export type KeyRefusal = "invalid-key" | "expired" | "issued-ahead";

/** State of a call as it is reported to callers. */
export type CallState =
    | { kind: "completed"; outcome: CompletedOutcome; }
    | { kind: "not-run"; }
    | { kind: "in-progress"; }
    /** `sealable` is true if the replicas show that no claim has a quorum yet; `seal` then returns a final state. */
    | { kind: "unknown"; sealable: boolean; };

export type ClaimResult =
    | CallState
    | { kind: "claimed"; claim: Claim; }
    /** Nothing was written or dispatched; the caller may send the same key again. */
    | { kind: "undecided"; reason: SelectionError | "no-permit" | "deadline" | "refused-by-replicas"; }
    /** The key was used before with another body; the call with this body was not dispatched. */
    | { kind: "key-reused"; }
    | { kind: "refused"; reason: KeyRefusal; };

export interface ClaimRequest {
    key: string;
    digest: string;
    /** Instant by which the call must end and after which it is not dispatched. */
    deadline: number;
}

export interface CoordinatorDependencies {
    clock: Clock;
    transport: ClaimTransport;
    generations: () => readonly ClaimGeneration[];
    /** Returns whether this entry may send new work now. */
    mayDispatch: () => boolean;
    /** Returns an id that no other claim of any entry has, also across restarts. */
    newClaimant: () => string;
    rules?: ClaimRules;
}

/** Runs the claim protocol for an entry: claims keys, and reads or seals the state of calls. */
export class ClaimCoordinator {
    private readonly options: CoordinatorOptions;
    private readonly rules: ClaimRules;
    private readonly quorum: number;
    private readonly context: RoundContext;

    constructor(private readonly deps: CoordinatorDependencies, options: Partial<CoordinatorOptions> = {}) {
        this.options = coordinatorOptionsSchema.parse(options);
        this.rules = deps.rules ?? allClaimRules;
        this.quorum = this.rules.claimQuorum ? QUORUM : 1;
        this.context = { clock: deps.clock, transport: deps.transport, resendMs: this.options.resendMs };
    }

    /** Tries to claim a key. Resolves before the deadline of the request. */
    async claim(req: ClaimRequest): Promise<ClaimResult> {
        const created = this.createViews(req.key);
        if (created.isErr()) {
            return created.error;
        }
        if (!this.deps.mayDispatch()) {
            return { kind: "undecided", reason: "no-permit" };
        }
        const now = this.deps.clock.now();
        const claimDeadline = Math.min(now + this.options.claimMs, req.deadline - this.options.settleMs);
        if (claimDeadline <= now) {
            return { kind: "undecided", reason: "deadline" };
        }
        const views = created.value;
        const record = { claimant: this.deps.newClaimant(), digest: req.digest, dispatchDeadline: req.deadline };
        const operation: ClaimOperation = { kind: "write", record };
        const result = await runRound(
            this.context,
            views,
            operation,
            claimDeadline,
            () => this.evaluate(views, record),
        );
        return result ?? this.endWithoutQuorum(views, record, req.deadline);
    }

    /** Reads the state of a call without changing it. Resolves before `deadline`. */
    query(key: string, deadline: number): Promise<CallState> {
        return this.inspect(key, { kind: "read" }, deadline);
    }

    /** Seals the empty registers of a key, so that a call without a quorum gets the final state `not-run`. */
    seal(key: string, deadline: number): Promise<CallState> {
        // Without the rule, a key without a quorum counts as not run, although a claimant can still reach one.
        return this.rules.seal
            ? this.inspect(key, { kind: "seal" }, deadline)
            : this.query(key, deadline).then(state =>
                state.kind === "unknown" && state.sealable ? { kind: "not-run" } : state
            );
    }

    private async inspect(keyText: string, operation: ClaimOperation, deadline: number): Promise<CallState> {
        const created = this.createViews(keyText);
        if (created.isErr()) {
            return { kind: "unknown", sealable: false };
        }
        const views = created.value;
        const state = await runRound(this.context, views, operation, deadline, () => {
            return this.stateOf(resolveKeyState(views.registers, new Set(), this.quorum));
        });
        const replyCount = views.registers.filter(view => view !== undefined).length;
        return state ?? { kind: "unknown", sealable: replyCount >= QUORUM };
    }

    private createViews(keyText: string): Result<ReplicaViews, ClaimResult> {
        const key = parseRequestKey(keyText);
        if (key.isErr()) {
            return Err({ kind: "refused", reason: key.error });
        }
        const window = checkKeyWindow(key.value, this.deps.clock.now());
        if (this.rules.expiryCheck && window.isErr()) {
            return Err({ kind: "refused", reason: window.error });
        }
        const replicas = selectReplicas(key.value, this.deps.generations());
        return replicas.isErr()
            ? Err({ kind: "undecided", reason: replicas.error })
            : Ok(new ReplicaViews(replicas.value, key.value.text));
    }

    private evaluate(views: ReplicaViews, record: ClaimRecord): ClaimResult | undefined {
        const keyState = resolveKeyState(views.registers, new Set(), this.quorum);
        if (keyState.kind === "held" && keyState.claimant === record.claimant) {
            const { outcomeMs } = this.options;
            return { kind: "claimed", claim: new Claim(record, views, this.context, outcomeMs, this.deps.mayDispatch) };
        }
        const result = this.resultFor(keyState, views, record);
        if (result?.kind === "key-reused") {
            void this.withdraw(views, record, this.deps.clock.now() + this.options.settleMs);
        }
        return result;
    }

    /**
     * Returns the result of a claim, or undefined while the key is open. The digest of the claimant with a quorum
     * decides whether the key was reused; before that, another digest may belong to a claimant that never reaches a
     * quorum. If no claimant can reach one, any other digest shows that the key was reused.
     */
    private resultFor(keyState: KeyState, views: ReplicaViews, record: ClaimRecord): ClaimResult | undefined {
        switch (keyState.kind) {
            case "completed":
            case "held":
                return this.digestDiffers(keyState.digest, record) ? { kind: "key-reused" } : this.stateOf(keyState);
            case "not-run":
                return this.isReused(views, record) ? { kind: "key-reused" } : this.stateOf(keyState);
            case "open":
                return undefined;
        }
    }

    private isReused(views: ReplicaViews, record: ClaimRecord): boolean {
        return views.registers.some(view => view?.kind === "claimed" && this.digestDiffers(view.digest, record));
    }

    private digestDiffers(digest: string, record: ClaimRecord): boolean {
        return this.rules.digestCheck && digest !== record.digest;
    }

    private stateOf(keyState: KeyState): CallState | undefined {
        switch (keyState.kind) {
            case "completed":
                return { kind: "completed", outcome: keyState.outcome };
            case "held":
                return this.deps.clock.now() <= keyState.dispatchDeadline
                    ? { kind: "in-progress" }
                    : { kind: "unknown", sealable: false };
            case "not-run":
                return { kind: "not-run" };
            case "open":
                return undefined;
        }
    }

    /** Ends a claim without a quorum: the claimant stores at the replicas that it will not dispatch the call. */
    private async endWithoutQuorum(views: ReplicaViews, record: ClaimRecord, deadline: number): Promise<ClaimResult> {
        if (!views.mayHoldRecord) {
            return { kind: "undecided", reason: "refused-by-replicas" };
        }
        const result = await this.withdraw(views, record, deadline);
        return result ?? (this.isReused(views, record) ? { kind: "key-reused" } : { kind: "unknown", sealable: false });
    }

    private withdraw(views: ReplicaViews, record: ClaimRecord, deadline: number): Promise<ClaimResult | undefined> {
        const operation: ClaimOperation = { kind: "outcome", record, outcome: { kind: "not-run" } };
        const withdrawnClaimants = new Set([record.claimant]);
        return runRound(this.context, views, operation, deadline, () => {
            return this.resultFor(resolveKeyState(views.registers, withdrawnClaimants, this.quorum), views, record);
        });
    }
}
