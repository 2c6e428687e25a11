/** Whole events taken from a stream, and the id of the last one that has any. */
export interface SplitEvents {
    /** Bytes up to the end of the last whole event; empty when none has ended. */
    completeEvents: Buffer;
    lastEventId: string | undefined;
}

/** Cuts a stream of server-sent events at the ends of events, so that a cut stream can go on without a gap. */
export class EventSplitter {
    private partial: Buffer = Buffer.alloc(0);

    /** Takes a piece of the stream. */
    push(piece: Buffer): SplitEvents {
        const data = this.partial.length === 0 ? piece : Buffer.concat([this.partial, piece]);
        const end = endOfLastEvent(data);
        const completeEvents = data.subarray(0, end);
        this.partial = data.subarray(end);
        return { completeEvents, lastEventId: end === 0 ? undefined : lastIdOf(completeEvents) };
    }

    /** Bytes after the last whole event. */
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
