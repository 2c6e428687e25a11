import { type Address, isLive, type Member, supersedes, type Update } from "./member.ts";

/** Table of the members that a node has received updates about, without the node itself. */
export class MemberTable {
    private readonly members = new Map<string, Member>();
    private cachedSortedIds: string[] | undefined;
    private liveCount = 0;

    get(id: string): Member | undefined {
        return this.members.get(id);
    }

    /** Number of live members, without the node itself. */
    get liveSize(): number {
        return this.liveCount;
    }

    *values(): IterableIterator<Member> {
        yield* this.members.values();
    }

    /**
     * Applies an update if it supersedes the stored state. Returns the member with its previous status, or undefined
     * when the update was not applied. An update about an unknown member is applied only if it contains an address.
     */
    merge(update: Update, now: number): { member: Member; previous: Member["status"] | undefined; } | undefined {
        const existing = this.members.get(update.id);
        if (existing === undefined) {
            return update.address === undefined
                ? undefined
                : { member: this.insert(update, update.address, now), previous: undefined };
        }
        if (!supersedes(update, existing)) {
            return undefined;
        }
        const previous = existing.status;
        this.liveCount += Number(isLive(update.status)) - Number(isLive(previous));
        existing.status = update.status;
        existing.incarnation = update.incarnation;
        existing.host = update.address?.host ?? existing.host;
        existing.port = update.address?.port ?? existing.port;
        existing.statusChangedAt = previous === update.status ? existing.statusChangedAt : now;
        return { member: existing, previous };
    }

    /** Removes members that are not live and whose status changed before `before`. */
    removeNotLive(before: number): void {
        for (const [id, member] of this.members) {
            if (!isLive(member.status) && member.statusChangedAt < before) {
                this.members.delete(id);
                this.cachedSortedIds = undefined;
            }
        }
    }

    /** Returns the sorted ids of all members, live or not. */
    sortedIds(): readonly string[] {
        this.cachedSortedIds ??= [...this.members.keys()].sort();
        return this.cachedSortedIds;
    }

    private insert(update: Update, address: Address, now: number): Member {
        const { id, incarnation, status } = update;
        const member = {
            id,
            host: address.host,
            port: address.port,
            incarnation,
            status,
            leaving: false,
            statusChangedAt: now,
        };
        this.members.set(id, member);
        this.cachedSortedIds = undefined;
        this.liveCount += Number(isLive(status));
        return member;
    }
}
