/** Timing and size options. Durations are in milliseconds of the node's own clock. */
export interface AgreementOptions {
    readonly heartbeatMs: number;
    readonly electionTimeoutMinMs: number;
    readonly electionTimeoutMaxMs: number;
    readonly leaseMs: number;
    /** Largest relative error of a clock's rate; 0.01 is 1%. */
    readonly clockRateError: number;
    /** Time after which a hand-over that has not succeeded ends. */
    readonly handOverTimeoutMs: number;
    /** Applied entries after which a snapshot is due. */
    readonly snapshotIntervalEntries: number;
    /** Entries kept before a snapshot, so that a slightly late follower needs no snapshot. */
    readonly retainedEntries: number;
    /** Limits of one append message. */
    readonly maxBatchEntries: number;
    readonly maxBatchChars: number;
    /** Uncommitted entries above which proposals are refused. */
    readonly maxUncommittedEntries: number;
}

/** Defaults of the design page; the timing is explained in its table of figures. */
export const defaultAgreementOptions: AgreementOptions = {
    heartbeatMs: 100,
    electionTimeoutMinMs: 400,
    electionTimeoutMaxMs: 800,
    leaseMs: 350,
    clockRateError: 0.01,
    handOverTimeoutMs: 400,
    snapshotIntervalEntries: 1_000,
    retainedEntries: 100,
    maxBatchEntries: 64,
    maxBatchChars: 262_144,
    maxUncommittedEntries: 1_000,
};

/** Thrown for options with which the protocol would be unsafe or could not make progress. */
export class OptionsError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "OptionsError";
    }
}

/** Fills in the defaults and checks the relations between the options. */
export function resolveOptions(partial: Partial<AgreementOptions> = {}): AgreementOptions {
    const options = { ...defaultAgreementOptions, ...partial };
    const { heartbeatMs, electionTimeoutMinMs, electionTimeoutMaxMs, leaseMs, clockRateError } = options;
    if (!(clockRateError >= 0 && clockRateError < 1)) {
        throw new OptionsError(`clockRateError must be at least 0 and below 1, got ${clockRateError}`);
    }
    if (!(heartbeatMs > 0 && heartbeatMs < electionTimeoutMinMs && electionTimeoutMinMs <= electionTimeoutMaxMs)) {
        throw new OptionsError("heartbeatMs must be positive and below electionTimeoutMinMs <= electionTimeoutMaxMs");
    }
    // A slow leader clock prolongs the lease and a fast voter clock shortens the voter's promise.
    const longest = leaseMs * (1 + clockRateError) / (1 - clockRateError);
    if (leaseMs < 0 || longest >= electionTimeoutMinMs) {
        throw new OptionsError(
            `leaseMs ${leaseMs} can last ${longest.toFixed(1)} ms on a voter's clock, which must be below `
                + `electionTimeoutMinMs ${electionTimeoutMinMs}`,
        );
    }
    if (options.maxBatchEntries < 1 || options.snapshotIntervalEntries < 1 || options.maxUncommittedEntries < 1) {
        throw new OptionsError("maxBatchEntries, snapshotEvery and maxUncommitted must be at least 1");
    }
    return options;
}
