import { ByteAccumulator } from "@lentilramp/protocol";

/** Complete events cut from a stream, and the last event id among them. */
export interface SplitEvents {
    /** Bytes up to the end of the last complete event; empty when no event has ended. */
    completeEvents: Buffer;
    lastEventId: string | undefined;
    /** Whether one of the events carries data; comments, for example, do not. */
    hasData: boolean;
}

/** What ends an event. */
const boundaries = ["\n\n", "\r\n\r\n"].map(text => Buffer.from(text));
/** Largest number of bytes of a boundary that may stand before the chunk in which it ends. */
const maxSplitBytes = Math.max(...boundaries.map(({ length }) => length)) - 1;

const lineEnd = Buffer.from("\n");
/** How a line with the data of an event begins, with the end of the line before. */
const dataLines = ["\ndata", "\rdata"].map(text => Buffer.from(text));
/** Largest number of bytes of the beginning of a data line that may stand before the chunk in which it ends. */
const maxSplitDataBytes = Math.max(...dataLines.map(({ length }) => length)) - 1;

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
            return { completeEvents: Buffer.alloc(0), lastEventId: undefined, hasData: false };
        }
        this.partial.append(chunk.subarray(0, end));
        const completeEvents = this.partial.take();
        this.partial.append(chunk.subarray(end));
        return {
            completeEvents,
            lastEventId: lastIdOf(completeEvents),
            hasData: hasDataLine(Buffer.alloc(0), completeEvents),
        };
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

/** Follows the events of a stream that is passed on as it arrives. */
export class EventScanner {
    /** Whether the bytes so far end inside an event. */
    insideEvent = false;
    private tail: Buffer = Buffer.alloc(0);
    /** The same bytes, with the line end that a stream begins after. */
    private lineTail: Buffer = lineEnd;
    private dataBegun = false;

    /** Takes the next chunk; returns whether an event that carries data has ended in it. */
    scan(chunk: Buffer): boolean {
        const eventEnd = endOfLastEvent(this.tail, chunk);
        this.insideEvent = eventEnd < chunk.length;
        const hasEnded = eventEnd > 0 && (this.dataBegun || hasDataLine(this.lineTail, chunk.subarray(0, eventEnd)));
        this.dataBegun = eventEnd > 0
            ? hasDataLine(Buffer.alloc(0), chunk.subarray(eventEnd))
            : this.dataBegun || hasDataLine(this.lineTail, chunk);
        this.tail = lastBytes(this.tail, chunk);
        this.lineTail = lastBytes(this.lineTail, chunk);
        return hasEnded;
    }
}

/** Returns the bytes that may begin a boundary or a data line which ends in a later chunk. */
function lastBytes(before: Buffer, chunk: Buffer): Buffer {
    return Buffer.concat([before, chunk.subarray(-maxSplitDataBytes)]).subarray(-maxSplitDataBytes);
}

/**
 * Returns the number of bytes of a chunk up to the end of its last event, or 0 if none ends in it. `before` holds the
 * bytes in front of it, with which the boundary may begin.
 */
function endOfLastEvent(before: Buffer, chunk: Buffer): number {
    const start = Buffer.concat([before, chunk.subarray(0, maxSplitBytes)]);
    return Math.max(0, endOfLastBoundary(chunk), endOfLastBoundary(start) - before.length);
}

/**
 * Whether a line of data begins in a chunk, or its beginning ends there. `before` holds the bytes in front of the chunk;
 * without any, the chunk begins a line.
 */
function hasDataLine(before: Buffer, chunk: Buffer): boolean {
    const start = Buffer.concat([before.length === 0 ? lineEnd : before, chunk.subarray(0, maxSplitDataBytes)]);
    return dataLines.some(line => start.includes(line) || chunk.includes(line));
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
