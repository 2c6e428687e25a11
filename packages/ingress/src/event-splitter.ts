/** Complete events cut from a stream, and the last event id among them. */
export interface SplitEvents {
    /** Bytes up to the end of the last complete event; empty when no event has ended. */
    completeEvents: Buffer;
    lastEventId: string | undefined;
}

/** Splits a stream of server-sent events at event boundaries, so that a broken stream can be resumed without a gap. */
export class EventSplitter {
    private partial: Buffer = Buffer.alloc(0);

    /** Adds a chunk of the stream and returns the events that it completes. */
    push(chunk: Buffer): SplitEvents {
        const data = this.partial.length === 0 ? chunk : Buffer.concat([this.partial, chunk]);
        const end = endOfLastEvent(data);
        const completeEvents = data.subarray(0, end);
        this.partial = data.subarray(end);
        return { completeEvents, lastEventId: end === 0 ? undefined : lastIdOf(completeEvents) };
    }

    /** Bytes after the last complete event. */
    get remainder(): Buffer {
        return this.partial;
    }
}

function endOfLastEvent(data: Buffer): number {
    const ends = [data.lastIndexOf("\n\n") + 2, data.lastIndexOf("\r\n\r\n") + 4];
    const found = [data.includes("\n\n"), data.includes("\r\n\r\n")];
    return Math.max(found[0] ? ends[0] ?? 0 : 0, found[1] ? ends[1] ?? 0 : 0);
}

function lastIdOf(events: Buffer): string | undefined {
    const ids = [...events.toString("latin1").matchAll(/(?:^|\n)id: ?([^\r\n]*)/g)];
    return ids.at(-1)?.[1];
}
