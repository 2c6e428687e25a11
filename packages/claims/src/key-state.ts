import { QUORUM } from "./constants.ts";
import type { Register } from "./messages.ts";
import type { CompletedOutcome } from "./outcome.ts";

/** What is known of the register of one replica; undefined when nothing is known. */
export type RegisterView = Register | undefined;

export type KeyState =
    | { kind: "completed"; outcome: CompletedOutcome; digest: string; }
    /** A quorum holds the record of one claimant, which may have dispatched. */
    | { kind: "held"; claimant: string; digest: string; dispatchDeadline: number; }
    /** No claimant has dispatched and none can. */
    | { kind: "not-run"; }
    /** A claimant can still reach a quorum, or may have reached it. */
    | { kind: "open"; };

/**
 * Decides the state of a key from the registers of its replicas. A register of which nothing is known, for example
 * because its disk was lost, counts as held by any claimant.
 * @param dead claimants that are known not to dispatch
 */
export function resolveKeyState(views: readonly RegisterView[], dead: ReadonlySet<string>, quorum = QUORUM): KeyState {
    const held = new Map<string, number>();
    const given = new Set(dead);
    let open = 0;
    for (const view of views) {
        if (view === undefined || view.kind === "empty") {
            open++;
        }
        else if (view.kind === "claimed") {
            if (view.outcome?.kind === "completed") {
                return { kind: "completed", outcome: view.outcome, digest: view.digest };
            }
            if (view.outcome?.kind === "not-run") {
                given.add(view.claimant);
            }
            held.set(view.claimant, (held.get(view.claimant) ?? 0) + 1);
        }
    }
    for (const view of views) {
        if (view?.kind === "claimed" && !given.has(view.claimant) && (held.get(view.claimant) ?? 0) >= quorum) {
            const { claimant, digest, dispatchDeadline } = view;
            return { kind: "held", claimant, digest, dispatchDeadline };
        }
    }
    const canWin = open >= quorum
        || [...held].some(([claimant, count]) => !given.has(claimant) && count + open >= quorum);
    return canWin ? { kind: "open" } : { kind: "not-run" };
}

/** Keeps the later of two views of one register; replies can arrive out of order. */
export function laterView(a: RegisterView, b: RegisterView): RegisterView {
    const rank = (view: RegisterView) => {
        if (view === undefined || view.kind === "empty") {
            return view === undefined ? 0 : 1;
        }
        return view.kind === "claimed" && view.outcome !== undefined ? 3 : 2;
    };
    return rank(b) >= rank(a) ? b : a;
}
