import { ByteAccumulator } from "@lentilramp/protocol";

/** Complete events cut from a stream, and the last event id among them. */
export interface SplitEvents {
    /** Bytes up to the end of the last complete event; empty when no event has ended. */
    completeEvents: Buffer;
    lastEventId: string | undefined;
}

/** What ends an event. */
const boundaries = ["\n\n", "\r\n\r\n"].map(text => Buffer.from(text));
/** Largest number of bytes of a boundary that may stand before the chunk in which it ends. */
export const maxSplitBytes = Math.max(...boundaries.map(({ length }) => length)) - 1;

/**
 * Splits a stream of server-sent events at event boundaries, so that a broken stream can be resumed without a gap. A
 * chunk costs time by its own length, whatever has been received of its event before.
 */
export class EventSplitter {
    private readonly partial = new ByteAccumulator();

    /** Adds a chunk of the stream and returns the events that it completes. */
    push(chunk: Buffer): SplitEvents {
        const end = endOfLastEvent(this.partial.tail(maxSplitBytes), chunk);
        if (end === 0) {
            this.partial.append(chunk);
            return { completeEvents: Buffer.alloc(0), lastEventId: undefined };
        }
        this.partial.append(chunk.subarray(0, end));
        const completeEvents = this.partial.take();
        this.partial.append(chunk.subarray(end));
        return { completeEvents, lastEventId: lastIdOf(completeEvents) };
    }

    /** Number of bytes after the last complete event. */
    get remainingBytes(): number {
        return this.partial.length;
    }

    /** Returns the bytes after the last complete event and forgets them. */
    takeRemainder(): Buffer {
        return this.partial.take();
    }
}

/**
 * Returns the number of bytes of a chunk up to the end of its last event, or 0 if none ends in it. `before` holds the
 * bytes in front of it, with which the boundary may begin.
 */
export function endOfLastEvent(before: Buffer, chunk: Buffer): number {
    const start = Buffer.concat([before, chunk.subarray(0, maxSplitBytes)]);
    return Math.max(0, endOfLastBoundary(chunk), endOfLastBoundary(start) - before.length);
}

/** Returns the end of the last boundary in `data`, or 0 if there is none. */
function endOfLastBoundary(data: Buffer): number {
    return Math.max(...boundaries.map(boundary => {
        const index = data.lastIndexOf(boundary);
        return index === -1 ? 0 : index + boundary.length;
    }));
}

function lastIdOf(events: Buffer): string | undefined {
    const ids = [...events.toString("latin1").matchAll(/(?:^|\n)id: ?([^\r\n]*)/g)];
    return ids.at(-1)?.[1];
}
