import type { Update } from "./member.ts";
import type { LocalMember } from "./membership-node.ts";

/** What a node tells others of itself. */
export class OwnState {
    private currentIncarnation: number;
    private left = false;

    constructor(private readonly self: LocalMember) {
        this.currentIncarnation = self.incarnation;
    }

    get incarnation(): number {
        return this.currentIncarnation;
    }

    get hasLeft(): boolean {
        return this.left;
    }

    /** Records that the node leaves. */
    leave(): void {
        this.left = true;
    }

    /** Returns the update about the node that others are sent. */
    update(): Update {
        const { id, host, port } = this.self;
        const { incarnation } = this;
        return this.left
            ? { id, status: "left", incarnation }
            : { id, status: "alive", incarnation, address: { host, port } };
    }

    /**
     * Refutes an update about this node with a higher incarnation, if the update says that the node is not alive or has
     * a higher incarnation from an earlier run of the process. Returns what was refuted; undefined if nothing was.
     */
    refute(update: Update): "incarnation" | "status" | undefined {
        const isOwnState = update.status === "alive" || this.left;
        const { incarnation } = this;
        if (update.incarnation < incarnation || (isOwnState && update.incarnation === incarnation)) {
            return undefined;
        }
        this.currentIncarnation = update.incarnation + 1;
        return isOwnState ? "incarnation" : "status";
    }
}
