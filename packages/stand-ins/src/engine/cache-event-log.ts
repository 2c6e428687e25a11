import type { RandomSource } from "@lentilramp/runtime";

export interface CacheEvent {
    sequence: number;
    kind: "stored" | "evicted";
    blocks: readonly string[];
}

export interface CacheEventOptions {
    cacheEventLagMs: number;
    cacheEventDropRate: number;
    cacheEventsKept: number;
}

/** Cache events that become visible late; a dropped event leaves a gap in the sequence numbers. */
export class CacheEventLog {
    private events: (CacheEvent & { visibleAt: number; })[] = [];
    private last = 0;

    constructor(private readonly options: CacheEventOptions, private readonly random: RandomSource) {}

    /** Sequence number of the newest event, visible or not. */
    get sequence(): number {
        return this.last;
    }

    append(kind: CacheEvent["kind"], blocks: readonly string[], now: number): void {
        if (blocks.length === 0) {
            return;
        }
        this.last++;
        if (this.random.next() < this.options.cacheEventDropRate) {
            return;
        }
        this.events.push({ sequence: this.last, kind, blocks, visibleAt: now + this.options.cacheEventLagMs });
        this.events = this.events.slice(-this.options.cacheEventsKept);
    }

    /** Visible events with a sequence number above `after`, in order. */
    read(after: number, now: number): CacheEvent[] {
        return this.events
            .filter(event => event.sequence > after && event.visibleAt <= now)
            .map(({ sequence, kind, blocks }) => ({ sequence, kind, blocks }));
    }
}
