import { QUORUM } from "./constants.ts";
import type { Register } from "./messages.ts";
import type { CompletedOutcome } from "./outcome.ts";

/** The register that a replica last reported; undefined if the replica has not reported one. */
export type RegisterView = Register | undefined;

/** State of a key, derived from the registers of its replicas. */
export type KeyState =
    | { kind: "completed"; outcome: CompletedOutcome; digest: string; }
    /** A quorum holds the record of one claimant, which may have dispatched the call. */
    | { kind: "held"; claimant: string; digest: string; dispatchDeadline: number; }
    /** No claimant has dispatched the call and none can. */
    | { kind: "not-run"; }
    /** A claimant can still reach a quorum, or may have reached it. */
    | { kind: "open"; };

/**
 * Derives the state of a key from the registers of its replicas. A register that was not reported, for example because
 * the replica lost its disk, may hold the record of any claimant.
 * @param withdrawnClaimants claimants that are certain not to dispatch
 */
export function resolveKeyState(
    views: readonly RegisterView[],
    withdrawnClaimants: ReadonlySet<string>,
    quorum = QUORUM,
): KeyState {
    const recordCounts = new Map<string, number>();
    const withdrawn = new Set(withdrawnClaimants);
    let openRegisters = 0;
    for (const view of views) {
        if (view === undefined || view.kind === "empty") {
            openRegisters++;
        }
        else if (view.kind === "claimed") {
            if (view.outcome?.kind === "completed") {
                return { kind: "completed", outcome: view.outcome, digest: view.digest };
            }
            if (view.outcome?.kind === "not-run") {
                withdrawn.add(view.claimant);
            }
            recordCounts.set(view.claimant, (recordCounts.get(view.claimant) ?? 0) + 1);
        }
    }
    for (const view of views) {
        if (
            view?.kind === "claimed" && !withdrawn.has(view.claimant)
            && (recordCounts.get(view.claimant) ?? 0) >= quorum
        ) {
            const { claimant, digest, dispatchDeadline } = view;
            return { kind: "held", claimant, digest, dispatchDeadline };
        }
    }
    const canReachQuorum = openRegisters >= quorum
        || [...recordCounts].some(([claimant, count]) => !withdrawn.has(claimant) && count + openRegisters >= quorum);
    return canReachQuorum ? { kind: "open" } : { kind: "not-run" };
}

/** Returns the newer of two views of one register, because replies can arrive out of order. */
export function newerView(a: RegisterView, b: RegisterView): RegisterView {
    const rank = (view: RegisterView) => {
        if (view === undefined || view.kind === "empty") {
            return view === undefined ? 0 : 1;
        }
        return view.kind === "claimed" && view.outcome !== undefined ? 3 : 2;
    };
    return rank(b) >= rank(a) ? b : a;
}
