import type { ChatStream } from "./chat-stream.ts";

/** Streams in progress at this entry. */
export class StreamTable {
    private readonly streams = new Set<ChatStream>();

    get size(): number {
        return this.streams.size;
    }

    add(stream: ChatStream): void {
        this.streams.add(stream);
    }

    remove(stream: ChatStream): void {
        this.streams.delete(stream);
    }

    /** Returns the streams whose current attempt is at an endpoint. */
    atEndpoint(endpointId: string): ChatStream[] {
        return [...this.streams].filter(stream => stream.endpoint?.id === endpointId);
    }

    /** Returns the streams of a workspace. */
    ofWorkspace(workspace: string): ChatStream[] {
        return [...this.streams].filter(stream => stream.context.workspace === workspace);
    }

    /** Returns the number of streams at each endpoint, for the state dump. */
    countByEndpoint(): Record<string, number> {
        const counts: Record<string, number> = {};
        for (const stream of this.streams) {
            const id = stream.endpoint?.id ?? "none";
            counts[id] = (counts[id] ?? 0) + 1;
        }
        return counts;
    }
}
