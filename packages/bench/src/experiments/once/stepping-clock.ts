import type { Timer } from "@lentilramp/runtime";
import { Clock } from "@lentilramp/runtime";
import TinyQueue from "tinyqueue";

interface Event {
    at: number;
    sequence: number;
    run: (() => void) | undefined;
}

/** Clock that runs one scheduled event at a time, so that a fault can be placed between any two events. */
export class SteppingClock extends Clock {
    private readonly queue = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.sequence - b.sequence);
    private sequence = 0;

    constructor(private current: number) {
        super();
    }

    override now(): number {
        return this.current;
    }

    override schedule(at: number, run: () => void): Timer {
        const event: Event = { at, sequence: this.sequence++, run };
        this.queue.push(event);
        return { cancel: () => event.run = undefined };
    }

    /** Runs the next event due by `until` and the promise callbacks that follow; returns false when there is none. */
    async step(until: number): Promise<boolean> {
        for (;;) {
            const next = this.queue.peek();
            if (next === undefined || next.at > until) {
                return false;
            }
            this.queue.pop();
            if (next.run !== undefined) {
                this.current = Math.max(this.current, next.at);
                next.run();
                await new Promise(resolve => setImmediate(resolve));
                return true;
            }
        }
    }

    /** Moves to a later instant without running events. */
    jumpTo(at: number): void {
        this.current = Math.max(this.current, at);
    }
}
