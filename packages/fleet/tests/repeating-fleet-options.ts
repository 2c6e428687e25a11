/** A request that crashes each endpoint that begins to run it. */
export interface DeadlyRequest {
    service: string;
    parts: readonly string[];
    /** Copies that come within 100 ms. */
    copies: number;
    /** Longest time from one such burst to the next, in milliseconds. */
    everyMs: number;
    /** Whether it may run more than once, so that ingresses repeat it. */
    repeatable: boolean;
}

export interface RepeatingFleetOptions {
    ingresses: number;
    seed: number;
    deadly: readonly DeadlyRequest[];
    /** Parts that crash engines in requests of which no two are alike, about two of them a second. */
    deadlyParts?: readonly string[];
    /** Instant from which the request that many callers send crashes endpoints too. */
    sharedDeadlyFrom?: number;
    /** Instants at which all endpoints of a failure domain crash. */
    outages?: readonly number[];
    /** Instants at which all endpoints of the service without prompts crash. */
    blackouts?: readonly number[];
    /** Whether all ingresses restart one after the other from six seconds on, and another leader takes over. */
    restarts?: boolean;
    engines?: number;
    lostSyncs?: number;
    lastMs?: number;
}

/** What became of one deadly request. */
export interface DeadlyOutcome {
    crashes: number;
    /** Crashes later than its third one, until it was known. */
    crashesAfterThird: number;
    /** Sends later than the contact bound after its third crash. */
    sentAfterBound: number;
    /** Time from its third crash until its verdict, in milliseconds. */
    blockedAfterMs: number | undefined;
}

export interface RepeatingFleetResult {
    deadly: DeadlyOutcome[];
    /** Sends of requests with a deadly part later than the contact bound after its fifth crash, by part. */
    partSentAfterBound: Record<string, number>;
    /** Crashes by the shared request. */
    sharedCrashes: number;
    sharedBlockedAt: number | undefined;
    blockedParts: string[];
    /** Sound requests that a verdict names. */
    blockedSound: string[];
    /** Number of sound requests that were refused at least once, by the reason. */
    refusedSound: number;
    withheldSound: number;
    /** Longest time from the first withholding of a sound request until it was sent or the play ended. */
    longestWithheldMs: number;
    /** Sound requests that their ingress did not repeat although it might have. */
    unrepeatedSound: number;
    /** Largest number of crashes in a row in which one sound request was lost. */
    mostLosses: number;
    served: number;
    lost: number;
}
