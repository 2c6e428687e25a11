import { createParser } from "eventsource-parser";

/** One event of an engine's stream. */
export type EngineEvent =
    | { kind: "token"; offset: number; text: string; chunk: string; }
    | { kind: "done"; };

interface Chunk {
    token_offset?: number;
    choices?: { delta?: { content?: string; }; }[];
}

/** An engine sent something that is not an event of the chat interface. */
export class EngineProtocolError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "EngineProtocolError";
    }
}

const eventEnd = "\n\n";
const idPrefix = "id: ";
const dataStart = "\ndata: {";
const contentStart = '"content":"';

/**
 * Reads an event of the form `id: N`, `data: {...}` without parsing its JSON. Returns undefined for any other form, and
 * when the token text holds escapes.
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
 * Turns the parts of an engine's answer into events. Nearly all events have one plain form, which is read without
 * parsing JSON: the relay spent more processor time on parsing than on sending (docs/notes/relay.md).
 */
export class EngineEventReader {
    /** True when the last part held whole events of the plain form and nothing else. */
    wholePlainPart = false;
    private rest = "";
    private readonly parsed: { id: string | undefined; data: string; }[] = [];
    private readonly parser = createParser({ onEvent: event => this.parsed.push({ id: event.id, data: event.data }) });

    /** `nextOffset` numbers the tokens of engines that state no offsets. */
    constructor(private nextOffset: number) {}

    /** Takes the next part and returns the events that it completes. Throws EngineProtocolError. */
    feed(part: string): EngineEvent[] {
        const text = this.rest === "" ? part : this.rest + part;
        const events: EngineEvent[] = [];
        let from = 0;
        this.wholePlainPart = this.rest === "";
        for (let end = text.indexOf(eventEnd); end >= 0; end = text.indexOf(eventEnd, from)) {
            const event = text.slice(from, end);
            from = end + eventEnd.length;
            const plain = readPlainEvent(event);
            this.wholePlainPart &&= plain !== undefined;
            for (const read of plain === undefined ? this.parse(event) : [plain]) {
                if (read.kind === "token") {
                    this.nextOffset = read.offset + 1;
                }
                events.push(read);
            }
        }
        this.rest = from === 0 ? text : text.slice(from);
        this.wholePlainPart &&= this.rest === "";
        return events;
    }

    private parse(event: string): EngineEvent[] {
        this.parser.feed(event + eventEnd);
        return this.parsed.splice(0).map(({ data }) => data === "[DONE]" ? { kind: "done" } : this.parseChunk(data));
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
