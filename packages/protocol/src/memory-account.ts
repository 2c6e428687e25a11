/** Shares of the budget at which the account stops growth. */
export interface MemoryAccountOptions {
    /** Bytes that clients may make the process hold; infinite without a known memory size. */
    budgetBytes: number;
    /** Share of the budget from which bodies wait before more of them is read. */
    waitShare: number;
    /** Share of the budget from which new bodies are refused. */
    refuseShare: number;
    /** Rate at which a sender or a reader counts as making progress, in bytes per millisecond. */
    progressBytesPerMs: number;
}

export const memoryAccountDefaults = {
    waitShare: 0.75,
    refuseShare: 0.9,
    // Senders that need a few seconds for the largest body are above this; a few bytes now and then are not progress.
    progressBytesPerMs: 65.536,
} as const;

/** Shortest time without progress after which a connection may be closed for the room of others, in milliseconds. */
const minStalledMs = 1_000;
/** Bytes below which a holding may grow until new bodies are refused; ordinary bodies have up to 55 KB. */
const smallHoldingBytes = 131_072;
/** Time for which bodies that make progress wait for each other before one is refused, in milliseconds. */
const maxWaitMs = 2_000;

/** What one connection holds. */
export class Holding {
    private held = 0;
    private progressAt: number;
    private waitingSince: number | undefined;
    private earlierWaitsMs = 0;
    private isClosed = false;
    /** Whether the client owes the next step: it has begun a message, or has not read an answer. */
    awaitsClient = false;
    /** Whether the holding always may grow and is never chosen. */
    isExempt = false;

    constructor(
        private readonly account: MemoryAccount,
        private readonly progressBytesPerMs: number,
        now: number,
    ) {
        this.progressAt = now;
    }

    get bytes(): number {
        return this.held;
    }

    get isWaiting(): boolean {
        return this.waitingSince !== undefined;
    }

    /** Takes bytes from the account, or gives them back when `bytes` is negative. */
    add(bytes: number): void {
        const change = this.isClosed ? 0 : Math.max(bytes, -this.held);
        this.held += change;
        this.account.change(change);
    }

    /** Records bytes that the client has sent or read. A burst gives no credit for the time after it. */
    recordProgress(bytes: number, now: number): void {
        this.progressAt = Math.min(now, this.progressAt + bytes / this.progressBytesPerMs);
    }

    /** Starts the time without progress anew. */
    restart(now: number): void {
        this.progressAt = now;
        this.earlierWaitsMs = 0;
    }

    /** Time without progress, in milliseconds; 0 while the process itself does not read. */
    stalledMs(now: number): number {
        return this.awaitsClient && this.waitingSince === undefined ? Math.max(0, now - this.progressAt) : 0;
    }

    /** Time for which the present message has waited, in milliseconds. */
    waitedMs(now: number): number {
        return this.earlierWaitsMs + (this.waitingSince === undefined ? 0 : now - this.waitingSince);
    }

    /** Waits until the account has room; `resume` is called once, also when others are closed for it. */
    waitForRoom(now: number, resume: () => void): void {
        if (this.waitingSince === undefined) {
            this.waitingSince = now;
            this.account.enqueue(this, resume);
        }
    }

    /** Ends the wait; the time that it took does not count as without progress. */
    endWait(now: number): void {
        if (this.waitingSince !== undefined) {
            this.progressAt = Math.min(now, this.progressAt + now - this.waitingSince);
            this.earlierWaitsMs += now - this.waitingSince;
            this.waitingSince = undefined;
        }
    }

    /** Gives up the wait for room: no more of the message is read. */
    stopWaiting(now: number): void {
        this.endWait(now);
        this.account.dequeue(this);
    }

    /** Gives everything back; what is added later does not count. */
    close(): void {
        this.add(-this.held);
        this.isClosed = true;
        this.waitingSince = undefined;
        this.account.remove(this);
    }
}

/**
 * Memory that clients make a process hold: bodies, heads, unread answers and a fixed cost of each request and chunk.
 * Every server of the process takes from the same account before it reads. The account only decides; it neither reads
 * nor closes anything.
 */
export class MemoryAccount {
    private used = 0;
    private readonly holdings = new Set<Holding>();
    private readonly waiting = new Map<Holding, () => void>();

    constructor(private readonly options: MemoryAccountOptions) {}

    get usedBytes(): number {
        return this.used;
    }

    get budgetBytes(): number {
        return this.options.budgetBytes;
    }

    /** Number of connections that wait for room. */
    get waitingCount(): number {
        return this.waiting.size;
    }

    open(now: number): Holding {
        const holding = new Holding(this, this.options.progressBytesPerMs, now);
        this.holdings.add(holding);
        return holding;
    }

    /**
     * Whether more may be read into a holding. One whose others hold little always may, so that a single body inside the
     * limits is served whatever its size.
     */
    mayGrow(holding: Holding): boolean {
        const { budgetBytes, waitShare, refuseShare } = this.options;
        // Bodies of ordinary size do not wait behind large ones that have filled their share.
        const limit = budgetBytes * (holding.bytes < smallHoldingBytes ? refuseShare : waitShare);
        return holding.isExempt || this.used < limit || this.used - holding.bytes < limit / 2;
    }

    /** Whether a new body is refused rather than begun. */
    refusesNew(holding: Holding): boolean {
        const { budgetBytes, refuseShare, waitShare } = this.options;
        return !holding.isExempt && this.used >= budgetBytes * refuseShare
            && this.used - holding.bytes >= budgetBytes * waitShare / 2;
    }

    /** Lets holdings that wait grow again while there is room, in the order in which they began to wait. */
    resumeWaiting(now: number): void {
        for (const [holding, resume] of this.waiting) {
            if (this.mayGrow(holding)) {
                this.waiting.delete(holding);
                holding.endWait(now);
                resume();
            }
        }
    }

    /**
     * Returns the holding to close, if others wait for room or new bodies are refused: the one with the most bytes for
     * the longest time without progress. If all make progress, the one that holds most for longest among those that have
     * waited for too long, since no other end of their wait is in sight. One whose client owes nothing is never chosen.
     */
    chooseVictim(now: number): Holding | undefined {
        const { budgetBytes, refuseShare } = this.options;
        if (this.waiting.size === 0 && this.used < budgetBytes * refuseShare) {
            return undefined;
        }
        return largest(this.holdings, holding => {
            const stalledMs = holding.stalledMs(now);
            return stalledMs >= minStalledMs && !holding.isExempt ? holding.bytes * stalledMs : 0;
        }) ?? largest(this.waiting.keys(), holding => {
            const waitedMs = holding.waitedMs(now);
            // Requests in hand end by themselves; their connections would be closed without the answers.
            return waitedMs >= maxWaitMs && holding.awaitsClient ? holding.bytes * waitedMs : 0;
        });
    }

    change(bytes: number): void {
        this.used += bytes;
    }

    enqueue(holding: Holding, resume: () => void): void {
        this.waiting.set(holding, resume);
    }

    dequeue(holding: Holding): void {
        this.waiting.delete(holding);
    }

    remove(holding: Holding): void {
        this.holdings.delete(holding);
        this.waiting.delete(holding);
    }
}

/** Returns the holding with the largest positive score. */
function largest(holdings: Iterable<Holding>, score: (holding: Holding) => number): Holding | undefined {
    let best: Holding | undefined;
    let bestScore = 0;
    for (const holding of holdings) {
        const value = score(holding);
        if (value > bestScore) {
            best = holding;
            bestScore = value;
        }
    }
    return best;
}
