import type { EngineWork } from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { IncomingHttpHeaders } from "node:http";

/** What a caller says in the head of a request. */
export interface CallerHead {
    /** Names this attempt of the caller; undefined when the caller sent none. */
    attemptId: string | undefined;
    apiKey: string | undefined;
    /** How long the caller waits, in milliseconds from the arrival. */
    timeoutMs: number | undefined;
    /** The last event of a stream that the caller already has. */
    lastEventId: string | undefined;
    /** Undefined when the request declares no work for an engine. */
    work: EngineWork | undefined;
}

/** What the ingress sets for one send to an endpoint. */
export interface EndpointHead {
    endpointId: string;
    workspace: string | undefined;
    /** Time left for the endpoint, in milliseconds. */
    timeLeftMs: number;
    /** Set to continue a stream after this event. */
    lastEventId: string | undefined;
    /** 0 to 9, 0 first; undefined leaves the default of the engine. */
    enginePriority: number | undefined;
}

/** What an endpoint says in the head of an answer. */
export interface AnswerHead {
    attemptId: string | undefined;
    /** The endpoint vouches for the answer. */
    sealed: boolean;
    /** The endpoint has not run the request and will not. */
    notRun: boolean;
    /** The endpoint leaves and wants no new request in this lifetime. */
    leaving: boolean;
    /** Time for which the endpoint wants no request, in milliseconds. */
    pauseMs: number | undefined;
}

/** Header formats between callers, ingress and endpoints. */
export abstract class HeaderCodec {
    abstract decodeCallerHead(headers: IncomingHttpHeaders): CallerHead;
    /** Headers for the endpoint, as a flat list of names and values, from those of the caller. */
    abstract encodeEndpointHeaders(callerHeaders: readonly string[], head: EndpointHead): string[];
    abstract decodeAnswerHead(status: number, headers: IncomingHttpHeaders): AnswerHead;
}

/** Reads the platform's list of endpoints. */
export abstract class EndpointSource {
    /** Resolves with all endpoints; rejects when the list cannot be read before the deadline. */
    abstract read(deadline: number): Promise<Endpoint[]>;
}
