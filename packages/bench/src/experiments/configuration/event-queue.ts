import TinyQueue from "tinyqueue";

interface Event {
    at: number;
    sequence: number;
    run: () => void;
}

/** Simulated time: runs events in the order of their instants, equal ones in the order in which they were added. */
export class EventQueue {
    private readonly events = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.sequence - b.sequence);
    private sequence = 0;
    private current = 0;

    get now(): number {
        return this.current;
    }

    at(at: number, run: () => void): void {
        this.events.push({ at: Math.max(at, this.current), sequence: this.sequence++, run });
    }

    after(delayMs: number, run: () => void): void {
        this.at(this.current + delayMs, run);
    }

    runUntil(end: number): void {
        for (let next = this.events.peek(); next !== undefined && next.at <= end; next = this.events.peek()) {
            this.events.pop();
            this.current = next.at;
            next.run();
        }
        this.current = end;
    }
}
