import type { EngineWork } from "@lentilramp/dispatch";
import type { Endpoint } from "@lentilramp/fleet";
import type { IncomingHttpHeaders } from "node:http";

/** Fields that an ingress decodes from the headers of a caller's request. */
export interface CallerHead {
    /** Id of the caller's attempt; undefined when the caller sent none. */
    attemptId: string | undefined;
    apiKey: string | undefined;
    /** Time for which the caller waits, in milliseconds from the arrival of the request. */
    timeoutMs: number | undefined;
    /** Id of the last event of a stream that the caller has received. */
    lastEventId: string | undefined;
    /** Id of the caller's attempt that brought the first event of that stream; undefined if the caller does not say it. */
    resumedAttemptId: string | undefined;
    /** Undefined when the request declares no work for an engine. */
    work: EngineWork | undefined;
}

/** Fields that the ingress encodes in the headers of one attempt at an endpoint. */
export interface EndpointHead {
    endpointId: string;
    workspace: string | undefined;
    /** Time until the deadline of the request, in milliseconds. */
    timeLeftMs: number;
    /** Id of the event after which the endpoint resumes a stream; undefined for a new stream. */
    lastEventId: string | undefined;
    /** Priority from 0 (most urgent) to 9; undefined for the engine's default. */
    enginePriority: number | undefined;
}

/** Fields that an ingress decodes from the headers of an endpoint's answer. */
export interface AnswerHead {
    attemptId: string | undefined;
    /** Whether the answer has the seal that confirms that it comes from the endpoint. */
    sealed: boolean;
    /** Whether the endpoint states that it has not run the request and will not run it. */
    notRun: boolean;
    /** Whether another endpoint answers at the address, so that the answer says nothing of the endpoint that is meant. */
    otherEndpoint: boolean;
    /** Whether the endpoint is shutting down and accepts no new request in this lifetime. */
    leaving: boolean;
    /** Time for which the endpoint asks for no requests, in milliseconds. */
    pauseMs: number | undefined;
    /**
     * Requests per second that the endpoint takes from the whole fleet; undefined if the answer names no limit, and
     * "unreadable" if it names one that is not a decimal number.
     */
    limitPerSecond: number | "unreadable" | undefined;
    /** Load that the endpoint states; undefined if the answer states none, and "unreadable" if it is malformed. */
    load: ServerLoad | "unreadable" | undefined;
}

/** Load of an endpoint as it states it itself. */
export interface ServerLoad {
    running: number;
    waiting: number;
    slots: number;
    /** Time that work takes at this moment, in percent of the usual time; undefined if the endpoint does not say it. */
    pace: number | undefined;
}

/** Decodes and encodes the headers that callers, the ingress and endpoints exchange. */
export abstract class HeaderCodec {
    abstract decodeCallerHead(headers: IncomingHttpHeaders): CallerHead;
    /** Returns the headers for the endpoint, derived from the caller's, as a flat list of names and values. */
    abstract encodeEndpointHeaders(callerHeaders: readonly string[], head: EndpointHead): string[];
    /** Returns the headers with which a caller's request is forwarded to a peer, as a flat list of names and values. */
    abstract encodePeerHeaders(callerHeaders: readonly string[], timeLeftMs: number): string[];
    abstract decodeAnswerHead(status: number, headers: IncomingHttpHeaders): AnswerHead;
}

/** Reads the platform's list of endpoints. */
export abstract class EndpointSource {
    /** Resolves with all endpoints; rejects when the list cannot be read before `deadline`. */
    abstract read(deadline: number): Promise<Endpoint[]>;
}
