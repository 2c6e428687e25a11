/** Connections that read on in one turn of the event loop. */
const resumedPerTurn = 4;

/**
 * Lets connections that have used their share of a turn of the event loop read on in later turns, in order. Node.js
 * accepts one connection a turn, so that new clients wait for as long as a turn takes.
 */
export class TurnQueue {
    private readonly waiting = new Set<() => boolean>();
    private isScheduled = false;

    /** Calls `begin` in one of the next turns, once for all calls until then. It returns whether it reads on. */
    add(begin: () => boolean): void {
        this.waiting.add(begin);
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.onTurn());
        }
    }

    private onTurn(): void {
        this.isScheduled = false;
        let resumed = 0;
        for (const begin of [...this.waiting]) {
            if (resumed >= resumedPerTurn) {
                this.add(begin);
                return;
            }
            this.waiting.delete(begin);
            resumed += begin() ? 1 : 0;
        }
    }
}
