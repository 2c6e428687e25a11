import { type Address, isLive, type Member, supersedes, type Update } from "./member.ts";

/** The members that a node knows, apart from itself. */
export class MemberTable {
    private readonly members = new Map<string, Member>();
    private sortedIds: string[] | undefined;
    private liveCount = 0;

    get(id: string): Member | undefined {
        return this.members.get(id);
    }

    /** Number of live members, without the node itself. */
    get live(): number {
        return this.liveCount;
    }

    *values(): IterableIterator<Member> {
        yield* this.members.values();
    }

    /**
     * Takes news that overrides what is held and returns the member, else undefined. News about an unknown member is
     * taken only with an address.
     */
    merge(update: Update, now: number): { member: Member; previous: Member["status"] | undefined; } | undefined {
        const held = this.members.get(update.id);
        if (held === undefined) {
            return update.address === undefined
                ? undefined
                : { member: this.insert(update, update.address, now), previous: undefined };
        }
        if (!supersedes(update, held)) {
            return undefined;
        }
        const previous = held.status;
        this.liveCount += Number(isLive(update.status)) - Number(isLive(previous));
        held.status = update.status;
        held.incarnation = update.incarnation;
        held.host = update.address?.host ?? held.host;
        held.port = update.address?.port ?? held.port;
        held.statusChangedAt = previous === update.status ? held.statusChangedAt : now;
        return { member: held, previous };
    }

    /** Forgets members that are not live since before `before`. */
    forget(before: number): void {
        for (const [id, member] of this.members) {
            if (!isLive(member.status) && member.statusChangedAt < before) {
                this.members.delete(id);
                this.sortedIds = undefined;
            }
        }
    }

    /** Ids in order, of live members and others. */
    sorted(): readonly string[] {
        this.sortedIds ??= [...this.members.keys()].sort();
        return this.sortedIds;
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
        this.sortedIds = undefined;
        this.liveCount += Number(isLive(status));
        return member;
    }
}
