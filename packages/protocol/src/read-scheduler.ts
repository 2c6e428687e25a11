/** What a chunk takes of the event loop besides its bytes, expressed in bytes that arrive in one large chunk. */
const chunkTurnCost = 2_048;
/** Cost, in bytes, that one body may have in a turn of the event loop before it waits for the next one. */
const bodyShareCost = 131_072;
/** Cost, in bytes, of the waiting bodies that are read in one turn of the event loop; at least one of them is. */
const turnCost = 1_048_576;

/** The connection of a body; a part of `Socket`. */
export interface PausableConnection {
    pause(): unknown;
    resume(): unknown;
}

/** The share of one body. */
export interface ReadShare {
    /** Records chunks that were read. */
    record(bytes: number, chunks: number): void;
    /** Lets the connection be read as others read it, since the body has ended or somebody else reads on. */
    release(): void;
}

interface WaitingBody {
    cost: () => number;
    resume: () => void;
}

/**
 * Shares the event loop among the bodies that a process reads. A socket is read up to 32 times in one turn, and a read
 * of 64 KiB may hold 10,000 chunks of a byte, which take some 20 ms. A body that has used its share of a turn therefore
 * waits, and the waiting bodies take turns, so that one turn takes as long whatever the number of such bodies.
 */
export class ReadScheduler {
    private readonly waiting: WaitingBody[] = [];
    private isScheduled = false;
    private turn = 0;

    /** Opens the share of a body. `connection` returns its connection while that belongs to the body. */
    open(connection: () => PausableConnection | null | undefined): ReadShare {
        let spent = 0;
        let spentTurn = this.turn;
        let paused: PausableConnection | undefined;
        let waits = false;
        let pauseIsDue = false;
        const pause = (): void => {
            pauseIsDue = false;
            if (waits) {
                paused = connection() ?? undefined;
                paused?.pause();
            }
        };
        const resume = (): void => {
            waits = false;
            paused?.resume();
            paused = undefined;
        };
        return {
            record: (bytes, chunks) => {
                this.schedule();
                if (spentTurn !== this.turn) {
                    spentTurn = this.turn;
                    spent = 0;
                }
                spent += bytes + chunks * chunkTurnCost;
                if (spent <= bodyShareCost) {
                    return;
                }
                if (!waits) {
                    waits = true;
                    this.waiting.push({ cost: () => spent, resume });
                }
                if (!pauseIsDue) {
                    pauseIsDue = true;
                    // Node.js resumes the socket after each part of a body, in a callback that follows the first of these.
                    process.nextTick(() => process.nextTick(pause));
                }
            },
            release: resume,
        };
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.onTurn());
        }
    }

    private onTurn(): void {
        this.isScheduled = false;
        this.turn++;
        let cost = 0;
        while (this.waiting.length > 0 && cost < turnCost) {
            const body = this.waiting.shift();
            cost += body?.cost() ?? 0;
            body?.resume();
        }
        if (this.waiting.length > 0) {
            this.schedule();
        }
    }
}
