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

/** State of a call as the caller interface names it. */
export type CallState =
    | { kind: "completed"; outcome: CompletedOutcome; }
    | { kind: "not-run"; }
    | { kind: "in-progress"; }
    /** `open` is true when the replicas show that no claim has a quorum yet; `seal` then gives a final answer. */
    | { kind: "unknown"; sealable: boolean; };

export type ClaimResult =
    | CallState
    | { kind: "claimed"; claim: Claim; }
    /** Nothing was written or dispatched; the same key may be sent again. */
    | { kind: "undecided"; reason: SelectionError | "no-permit" | "deadline" | "refused-by-replicas"; }
    /** The key was used with another body; this body was not dispatched. */
    | { kind: "key-reused"; }
    | { kind: "refused"; reason: KeyRefusal; };

export interface ClaimRequest {
    key: string;
    digest: string;
    /** Instant by which the call must end; it is not dispatched after it. */
    deadline: number;
}

export interface CoordinatorDependencies {
    clock: Clock;
    transport: ClaimTransport;
    generations: () => readonly ClaimGeneration[];
    /** Says whether this entry may send new work now. */
    mayDispatch: () => boolean;
    /** Returns an id that no other claim of any entry has, also after a restart. */
    newClaimant: () => string;
    rules?: ClaimRules;
}

/** Entry side of the claim protocol. */
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
        const found = this.locate(req.key);
        if (found.isErr()) {
            return found.error;
        }
        if (!this.deps.mayDispatch()) {
            return { kind: "undecided", reason: "no-permit" };
        }
        const now = this.deps.clock.now();
        const claimDeadline = Math.min(now + this.options.claimMs, req.deadline - this.options.settleMs);
        if (claimDeadline <= now) {
            return { kind: "undecided", reason: "deadline" };
        }
        const views = found.value;
        const record = { claimant: this.deps.newClaimant(), digest: req.digest, dispatchDeadline: req.deadline };
        const operation: ClaimOperation = { kind: "write", record };
        const result = await runRound(
            this.context,
            views,
            operation,
            claimDeadline,
            () => this.evaluate(views, record),
        );
        return result ?? this.giveUp(views, record, req.deadline);
    }

    /** Reads the state of a call without changing it. Resolves before `deadline`. */
    query(key: string, deadline: number): Promise<CallState> {
        return this.inspect(key, { kind: "read" }, deadline);
    }

    /** Seals the empty registers of a key, so that a call that no claimant has won gets the final answer `not-run`. */
    seal(key: string, deadline: number): Promise<CallState> {
        // Without the rule, a key without a winner is taken for not run, although a claimant can still win.
        return this.rules.seal
            ? this.inspect(key, { kind: "seal" }, deadline)
            : this.query(key, deadline).then(state =>
                state.kind === "unknown" && state.sealable ? { kind: "not-run" } : state
            );
    }

    private async inspect(text: string, operation: ClaimOperation, deadline: number): Promise<CallState> {
        const found = this.locate(text);
        if (found.isErr()) {
            return { kind: "unknown", sealable: false };
        }
        const views = found.value;
        const state = await runRound(this.context, views, operation, deadline, () => {
            return this.stateOf(resolveKeyState(views.registers, new Set(), this.quorum));
        });
        const answers = views.registers.filter(view => view !== undefined).length;
        return state ?? { kind: "unknown", sealable: answers >= QUORUM };
    }

    private locate(text: string): Result<ReplicaViews, ClaimResult> {
        const key = parseRequestKey(text);
        if (key.isErr()) {
            return Err({ kind: "refused", reason: key.error });
        }
        const valid = checkKeyWindow(key.value, this.deps.clock.now());
        if (this.rules.expiryCheck && valid.isErr()) {
            return Err({ kind: "refused", reason: valid.error });
        }
        const replicas = selectReplicas(key.value, this.deps.generations());
        return replicas.isErr()
            ? Err({ kind: "undecided", reason: replicas.error })
            : Ok(new ReplicaViews(replicas.value, key.value.text));
    }

    private evaluate(views: ReplicaViews, record: ClaimRecord): ClaimResult | undefined {
        const verdict = resolveKeyState(views.registers, new Set(), this.quorum);
        if (verdict.kind === "held" && verdict.claimant === record.claimant) {
            const { outcomeMs } = this.options;
            return { kind: "claimed", claim: new Claim(record, views, this.context, outcomeMs, this.deps.mayDispatch) };
        }
        const result = this.resultFor(verdict, views, record);
        if (result?.kind === "key-reused") {
            void this.abandon(views, record, this.deps.clock.now() + this.options.settleMs);
        }
        return result;
    }

    /**
     * Gives the state of the key to the sender of one body. The digest of the winner decides; while the key is open,
     * another digest can belong to a loser. Without a winner, another digest shows that the key was reused.
     */
    private resultFor(verdict: KeyState, views: ReplicaViews, record: ClaimRecord): ClaimResult | undefined {
        switch (verdict.kind) {
            case "completed":
            case "held":
                return this.differs(verdict.digest, record) ? { kind: "key-reused" } : this.stateOf(verdict);
            case "not-run":
                return this.isReused(views, record) ? { kind: "key-reused" } : this.stateOf(verdict);
            case "open":
                return undefined;
        }
    }

    private isReused(views: ReplicaViews, record: ClaimRecord): boolean {
        return views.registers.some(view => view?.kind === "claimed" && this.differs(view.digest, record));
    }

    private differs(digest: string, record: ClaimRecord): boolean {
        return this.rules.digestCheck && digest !== record.digest;
    }

    private stateOf(verdict: KeyState): CallState | undefined {
        switch (verdict.kind) {
            case "completed":
                return { kind: "completed", outcome: verdict.outcome };
            case "held":
                return this.deps.clock.now() <= verdict.dispatchDeadline
                    ? { kind: "in-progress" }
                    : { kind: "unknown", sealable: false };
            case "not-run":
                return { kind: "not-run" };
            case "open":
                return undefined;
        }
    }

    /** Ends an attempt without a quorum: this claimant will not dispatch, and says so to the replicas. */
    private async giveUp(views: ReplicaViews, record: ClaimRecord, deadline: number): Promise<ClaimResult> {
        if (!views.mayHoldRecord) {
            return { kind: "undecided", reason: "refused-by-replicas" };
        }
        const result = await this.abandon(views, record, deadline);
        return result ?? (this.isReused(views, record) ? { kind: "key-reused" } : { kind: "unknown", sealable: false });
    }

    private abandon(views: ReplicaViews, record: ClaimRecord, deadline: number): Promise<ClaimResult | undefined> {
        const operation: ClaimOperation = { kind: "outcome", record, outcome: { kind: "not-run" } };
        const dead = new Set([record.claimant]);
        return runRound(this.context, views, operation, deadline, () => {
            return this.resultFor(resolveKeyState(views.registers, dead, this.quorum), views, record);
        });
    }
}
