import { chunkCostBytes } from "@lentilramp/protocol";
import { createParser } from "eventsource-parser";

/** One event of an engine's stream. */
export type EngineEvent =
    | { kind: "token"; offset: number; text: string; chunk: string; }
    | { kind: "done"; };

interface Chunk {
    token_offset?: number;
    choices?: { delta?: { content?: string; }; }[];
}

/** Error for a server-sent event of an engine that cannot be parsed. */
export class EngineProtocolError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "EngineProtocolError";
    }
}

const eventEnd = "\n\n";
/** Cost of an incomplete event, in bytes, above which the answer counts as invalid. */
const eventLimitCost = 262_144;
const idPrefix = "id: ";
const dataStart = "\ndata: {";
const contentStart = '"content":"';

/**
 * Reads an event of the plain form `id: N`, `data: {...}` without parsing its JSON. Returns undefined for any other
 * form and when the token text contains escape sequences.
 */
function readPlainEvent(event: string): EngineEvent | undefined {
    const data = event.indexOf(dataStart);
    const content = event.indexOf(contentStart, data) + contentStart.length;
    if (
        !event.startsWith(idPrefix) || data < 0 || content < contentStart.length || event.indexOf("\n", data + 1) >= 0
    ) {
        return undefined;
    }
    const id = Number(event.slice(idPrefix.length, data));
    const text = event.slice(content, event.indexOf('"', content));
    return Number.isSafeInteger(id) && id > 0 && !text.includes("\\")
        ? { kind: "token", offset: id - 1, text, chunk: event.slice(data + dataStart.length - 1) }
        : undefined;
}

/**
 * Parses the server-sent events of an engine's answer incrementally. Nearly all events have one plain form, which is
 * read without parsing JSON, since JSON parsing took more CPU time in the relay than sending (docs/notes/relay.md).
 */
export class EngineEventReader {
    /** Whether the last input consisted only of complete events in the plain form and can be forwarded unchanged. */
    canForwardVerbatim = false;
    private incompleteEvent = "";
    private incompleteCost = 0;
    /** Whether the input so far ends with an end of line, which may begin the end of an event. */
    private endsLine = false;
    private readonly parsedEvents: { id: string | undefined; data: string; }[] = [];
    private readonly parser = createParser({
        onEvent: event => this.parsedEvents.push({ id: event.id, data: event.data }),
    });

    /** `nextOffset` is the offset of the first token, used for engines whose events contain no offsets. */
    constructor(private nextOffset: number) {}

    /**
     * Returns the events completed by `data`. Throws an EngineProtocolError for an event without valid JSON, and for one
     * that does not end.
     */
    feed(data: string): EngineEvent[] {
        const completesEvent = data.includes(eventEnd) || this.endsLine && data.startsWith("\n");
        this.endsLine = data === "" ? this.endsLine : data.endsWith("\n");
        if (!completesEvent) {
            return this.extendEvent(data);
        }
        const text = this.incompleteEvent + data;
        const events: EngineEvent[] = [];
        let from = 0;
        this.canForwardVerbatim = this.incompleteEvent === "";
        for (let end = text.indexOf(eventEnd); end >= 0; end = text.indexOf(eventEnd, from)) {
            const event = text.slice(from, end);
            from = end + eventEnd.length;
            const plain = readPlainEvent(event);
            this.canForwardVerbatim &&= plain !== undefined;
            for (const read of plain === undefined ? this.parseEvent(event) : [plain]) {
                if (read.kind === "token") {
                    this.nextOffset = read.offset + 1;
                }
                events.push(read);
            }
        }
        this.incompleteEvent = text.slice(from);
        this.incompleteCost = this.incompleteEvent.length;
        this.canForwardVerbatim &&= this.incompleteEvent === "";
        return events;
    }

    /** Adds data to an event that it does not complete. */
    private extendEvent(data: string): [] {
        this.incompleteEvent += data;
        this.incompleteCost += data.length + chunkCostBytes;
        this.canForwardVerbatim = false;
        if (this.incompleteCost > eventLimitCost) {
            throw new EngineProtocolError("an event of the engine does not end");
        }
        return [];
    }

    private parseEvent(event: string): EngineEvent[] {
        this.parser.feed(event + eventEnd);
        return this.parsedEvents.splice(0).map(({ data }) =>
            data === "[DONE]" ? { kind: "done" } : this.parseChunk(data)
        );
    }

    private parseChunk(data: string): EngineEvent {
        let chunk: Chunk;
        try {
            chunk = JSON.parse(data) as Chunk;
        }
        catch {
            throw new EngineProtocolError("an event of the engine is not valid JSON");
        }
        const text = chunk.choices?.[0]?.delta?.content ?? "";
        return { kind: "token", offset: chunk.token_offset ?? this.nextOffset, text, chunk: data };
    }
}
