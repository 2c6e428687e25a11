import type { Entry } from "@lentilramp/agreement";

/** Thrown when a run breaks a guarantee of the protocol. */
export class InvariantViolation extends Error {
    constructor(readonly invariant: string, detail: string) {
        super(`${invariant}: ${detail}`);
        this.name = "InvariantViolation";
    }
}

export function describeEntry(entry: Entry): string {
    const { content } = entry;
    switch (content.kind) {
        case "no-op":
            return `${entry.term}:no-op`;
        case "command":
            return `${entry.term}:${content.command}`;
        case "membership":
            return `${entry.term}:${
                content.membership.members.map(member => `${member.id}${member.voter ? "" : "?"}`).join(",")
            }`;
    }
}

/** The state of the state machine that the runs replicate: a digest of all entries applied. */
export function nextDigest(digest: string, entry: Entry): string {
    let hash = Number.parseInt(digest === "" ? "0" : digest, 36);
    for (const char of `${entry.index}/${describeEntry(entry)}`) {
        hash = (Math.imul(hash, 31) + char.charCodeAt(0)) >>> 0;
    }
    return hash.toString(36);
}

/** What a simulated run has committed and promised so far; throws InvariantViolation on a contradiction. */
export class History {
    private readonly committed: string[] = [];
    private readonly digests: string[] = [""];
    private readonly leaders = new Map<number, string>();

    get lastIndex(): number {
        return this.committed.length;
    }

    recordApply(node: string, entry: Entry, digestBefore: string): void {
        const text = describeEntry(entry);
        const known = this.committed[entry.index - 1];
        if (known !== undefined && known !== text) {
            throw new InvariantViolation("committed entries never change", `${node} ${entry.index} ${known} ${text}`);
        }
        if (digestBefore !== this.digests[entry.index - 1]) {
            throw new InvariantViolation("state machines agree", `${node} before index ${entry.index}`);
        }
        if (known === undefined) {
            this.committed.push(text);
            this.digests.push(nextDigest(digestBefore, entry));
        }
    }

    recordRestore(node: string, index: number, digest: string): void {
        if (this.digests[index] !== digest) {
            throw new InvariantViolation("state machines agree", `${node} restored a wrong state at ${index}`);
        }
    }

    recordLeader(term: number, node: string): void {
        const other = this.leaders.get(term) ?? node;
        if (other !== node) {
            throw new InvariantViolation("one leader a term", `${other} and ${node} in term ${term}`);
        }
        this.leaders.set(term, node);
    }

    /** `holders` are the nodes that may act as the only leader now. */
    checkLeases(holders: readonly { readonly id: string; readonly appliedIndex: number; }[]): void {
        const late = holders.find(holder => holder.appliedIndex < this.lastIndex);
        if (holders.length > 1 || late !== undefined) {
            const text = holders.map(holder => `${holder.id} at ${holder.appliedIndex}`).join(", ");
            throw new InvariantViolation("a lease holder is alone and knows the newest commit", text);
        }
    }

    recordRead(node: string, index: number, atLeast: number): void {
        if (index < atLeast) {
            throw new InvariantViolation("reads return the newest state", `${node} read ${index}, newest ${atLeast}`);
        }
    }
}
