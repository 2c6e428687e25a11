import type { Core } from "./core.ts";
import { lastIndex } from "./log.ts";
import { changeMembership, isMember } from "./membership.ts";
import { appendAsLeader } from "./roles.ts";
import type { EntryContent, MembershipChange, RefusalReason } from "./types.ts";

function refusal(core: Core): RefusalReason | undefined {
    const { state, options } = core;
    if (state.role !== "leader") {
        return "not-leader";
    }
    if (state.handOver !== undefined) {
        return "handing-over";
    }
    return lastIndex(state) - state.commitIndex >= options.maxUncommitted ? "overloaded" : undefined;
}

function append(core: Core, id: string, content: EntryContent): void {
    const index = appendAsLeader(core, content);
    core.effects.push({ type: "proposed", id, index, term: core.state.term });
}

export function handlePropose(core: Core, id: string, command: string): void {
    const reason = refusal(core);
    if (reason === undefined) {
        append(core, id, { kind: "command", command });
    }
    else {
        core.refuse(id, reason);
    }
}

export function handleMembershipChange(core: Core, id: string, change: MembershipChange): void {
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

function changeRefusal(core: Core, change: MembershipChange): RefusalReason | undefined {
    const { state } = core;
    if (state.commitIndex < state.termStartIndex && core.enforces("change-after-own-commit")) {
        return "not-ready";
    }
    if (state.membershipIndex > state.commitIndex && core.enforces("one-change-at-a-time")) {
        return "change-in-progress";
    }
    state.lost = state.lost.filter(id => isMember(state.membership, id));
    if (change.kind === "add-learner" && change.replaces !== undefined && isMember(state.membership, change.replaces)) {
        state.lost.push(change.replaces);
        return "remove-lost-first";
    }
    if (state.lost.length > 0 && !(change.kind === "remove" && state.lost.includes(change.id))) {
        return "remove-lost-first";
    }
    if (change.kind === "remove" && change.id === core.id) {
        // A leader outside its own voters would complicate the quorums; it hands over first.
        return "invalid-change";
    }
    const match = state.peers.get(change.id)?.match ?? 0;
    return change.kind === "promote" && match < state.commitIndex ? "not-caught-up" : undefined;
}
