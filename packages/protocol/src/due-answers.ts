import type { ServerResponse } from "node:http";

/** The answers that are due on one connection of a server. */
export class DueAnswers {
    /** Those that have not closed, in the order of their requests. */
    private readonly open = new Set<ServerResponse>();
    private lastEndAt = -Infinity;
    private isBroken = false;

    add(res: ServerResponse): void {
        this.open.add(res);
        res.once("close", () => this.open.delete(res));
    }

    /** Records that a request has been handled. */
    recordEnd(now: number): void {
        this.lastEndAt = now;
    }

    /** When the last request was handled; Infinity while one that has been read whole is running. */
    get endedAt(): number {
        for (const { req, writableEnded } of this.open) {
            if (req.complete && !writableEnded) {
                return Infinity;
            }
        }
        return this.lastEndAt;
    }

    /**
     * Calls `end` once the answers have been sent that are due before bytes that are no request; a refusal of these would
     * be taken for the answer that is due, or for a part of it. `mayRefuse` tells whether a refusal is the next answer that
     * the client expects. Does nothing after the first call.
     */
    endAfterLast(end: (mayRefuse: boolean) => void): void {
        if (this.isBroken) {
            return;
        }
        this.isBroken = true;
        const hadDueAnswer = this.lastDueAnswer !== undefined;
        const endIfSent = (): void => {
            const due = this.lastDueAnswer;
            if (due === undefined) {
                end(!hadDueAnswer || this.open.size > 0);
            }
            else {
                due.once("close", endIfSent);
            }
        };
        endIfSent();
    }

    /** The last answer whose request has been read whole, or whose head has been written. */
    private get lastDueAnswer(): ServerResponse | undefined {
        return [...this.open].findLast(res => (res.req.complete || res.headersSent) && !res.writableFinished);
    }
}
