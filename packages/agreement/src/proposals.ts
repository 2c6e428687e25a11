import { lastIndex } from "./log.ts";
import { changeMembership, isMember } from "./membership.ts";
import { appendAsLeader } from "./roles.ts";
import type { StepContext } from "./step-context.ts";
import type { EntryContent, MembershipChange, RefusalReason } from "./types.ts";

function refusal(core: StepContext): RefusalReason | undefined {
    const { state, options } = core;
    if (state.role !== "leader") {
        return "not-leader";
    }
    if (state.handOver !== undefined) {
        return "handing-over";
    }
    return lastIndex(state) - state.commitIndex >= options.maxUncommittedEntries ? "overloaded" : undefined;
}

function append(core: StepContext, id: string, content: EntryContent): void {
    const index = appendAsLeader(core, content);
    core.effects.push({ type: "proposed", id, index, term: core.state.term });
}

export function handlePropose(core: StepContext, id: string, command: string): void {
    const reason = refusal(core);
    if (reason === undefined) {
        append(core, id, { kind: "command", command });
    }
    else {
        core.refuse(id, reason);
    }
}

export function handleMembershipChange(core: StepContext, id: string, change: MembershipChange): void {
    const reason = refusal(core) ?? changeRefusal(core, change);
    if (reason !== undefined) {
        core.refuse(id, reason);
        return;
    }
    const membership = changeMembership(core.state.membership, change);
    if (typeof membership === "string") {
        core.refuse(id, membership);
        return;
    }
    append(core, id, { kind: "membership", membership });
}

function changeRefusal(core: StepContext, change: MembershipChange): RefusalReason | undefined {
    const { state } = core;
    if (state.commitIndex < state.termStartIndex && core.enforces("change-after-own-commit")) {
        return "not-ready";
    }
    if (state.membershipIndex > state.commitIndex && core.enforces("one-change-at-a-time")) {
        return "change-in-progress";
    }
    state.lostMembers = state.lostMembers.filter(id => isMember(state.membership, id));
    if (change.kind === "add-learner" && change.replaces !== undefined && isMember(state.membership, change.replaces)) {
        state.lostMembers.push(change.replaces);
        return "remove-lost-first";
    }
    if (state.lostMembers.length > 0 && !(change.kind === "remove" && state.lostMembers.includes(change.id))) {
        return "remove-lost-first";
    }
    if (change.kind === "remove" && change.id === core.id) {
        // A leader outside its own voters would complicate the quorums; it hands over first.
        return "invalid-change";
    }
    const match = state.peers.get(change.id)?.matchIndex ?? 0;
    return change.kind === "promote" && match < state.commitIndex ? "not-caught-up" : undefined;
}
