import { memoryAccountDefaults } from "./memory-account.ts";

/** Bounds on what the clients of a process may hold and for how long. docs/operations/untrusted-clients.md lists them. */
export interface ClientLimits {
    /** Memory of the machine, in bytes; without it the memory of clients has no common bound. */
    memoryBytes: number | undefined;
    /** Share of the memory for what clients send and do not read. */
    memoryShare: number;
    /** File descriptors of the process; without them connections have no common bound. */
    descriptors: number | undefined;
    /** Share of the descriptors for the connections of clients, over all servers of the process. */
    connectionShare: number;
    /** Requests of one connection that are in hand at once; further ones are not read. Needs `memoryBytes`. */
    pipelinedRequests: number;
    /** Unread bytes of answers of one connection from which no further request of it is read. Needs `memoryBytes`. */
    unreadAnswerBytes: number;
    /** Lowest rate of a body after the grace period, in bytes per second. */
    bodyBytesPerSecond: number;
    /** Time for which a body may be slower than that, in milliseconds. */
    bodyGraceMs: number;
    /**
     * Time without progress after which a server that knows no deadlines closes a connection with unread answers, in
     * milliseconds. Each such server has it in its own options.
     */
    unreadAnswerMs: number;
}

export const defaultClientLimits: ClientLimits = {
    memoryBytes: undefined,
    memoryShare: 0.25,
    descriptors: undefined,
    connectionShare: 0.6,
    pipelinedRequests: 32,
    // Node.js itself reads no further requests above this.
    unreadAnswerBytes: 16_384,
    bodyBytesPerSecond: 1_024,
    bodyGraceMs: 10_000,
    // Linux opens a closed receive window once a 16th of the buffer is free: 393,216 bytes of a buffer of 6 MiB, 78.6 s for
    // a caller that reads 5,000 bytes a second. The whole of a buffer of the default size (131,072 bytes) takes 26.2 s. The
    // rest covers the sample after a progress (1 s), two looks (0.5 s each) and delays. Buffers may grow to 32 MiB (Linux
    // 6.18); with one of these a caller has to read 26,000 bytes a second.
    unreadAnswerMs: 85_000,
};

/** Returns the options of the memory account under the limits. */
export function accountOptions(limits: ClientLimits) {
    return { ...memoryAccountDefaults, budgetBytes: (limits.memoryBytes ?? Infinity) * limits.memoryShare };
}

/**
 * Returns the limits of one connection. Requests in hand and unread answers only cost memory, so they are not bounded
 * where the memory of the machine is not known.
 */
export function limitsOfConnection(limits: ClientLimits): ClientLimits {
    return limits.memoryBytes === undefined
        ? { ...limits, pipelinedRequests: Infinity, unreadAnswerBytes: Infinity }
        : limits;
}

/** Returns the number of connections that clients may hold open. */
export function connectionLimit({ descriptors, connectionShare }: ClientLimits): number {
    return descriptors === undefined ? Infinity : Math.max(1, Math.floor(descriptors * connectionShare));
}
