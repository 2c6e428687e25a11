import type { Timer } from "@lentilramp/runtime";
import { Clock } from "@lentilramp/runtime";
import TinyQueue from "tinyqueue";

interface Event {
    at: number;
    sequence: number;
    run: (() => void) | undefined;
}

/** Clock of an experiment: runs scheduled events in the order of their instants, then of their scheduling. */
export class EventQueue extends Clock {
    private readonly events = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.sequence - b.sequence);
    private current = 0;
    private sequence = 0;

    override now(): number {
        return this.current;
    }

    override schedule(at: number, run: () => void): Timer {
        const event: Event = { at: Math.max(at, this.current), sequence: this.sequence++, run };
        this.events.push(event);
        return { cancel: () => event.run = undefined };
    }

    /** Runs all events up to and including the instant `end`. */
    runUntil(end: number): void {
        for (let next = this.events.peek(); next !== undefined && next.at <= end; next = this.events.peek()) {
            this.events.pop();
            this.current = next.at;
            next.run?.();
        }
        this.current = Math.max(this.current, end);
    }
}
