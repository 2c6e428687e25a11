import type { Sequence } from "./batch-scheduler.ts";
import type { ChatBody } from "./chat-body.ts";

export type RequestState = "running" | "done" | "cancelled";

export interface ProducedToken {
    offset: number;
    text: string;
    /** True for the final token of the answer. */
    last: boolean;
}

/** A generation request that the engine holds, or that ended a while ago. */
export interface EngineRequest {
    readonly id: string;
    readonly body: ChatBody;
    readonly fingerprint: string;
    readonly tokens: readonly string[];
    readonly promptTokens: number;
    readonly blocks: readonly string[];
    readonly sequence: Sequence;
    state: RequestState;
    /** Receives each token. */
    onToken: (produced: ProducedToken) => void;
    /** Called when the request is cancelled or the streams are cut. */
    onCut: () => void;
}

/** Answer of `GET /v1/requests/{id}`; `produced` is the offset after the newest token. */
export function requestStatus(request: EngineRequest): Record<string, unknown> {
    return {
        id: request.id,
        state: request.state,
        produced: request.sequence.nextOffset,
        total: request.sequence.endOffset,
        prefillLeft: request.sequence.prefillLeft,
    };
}
