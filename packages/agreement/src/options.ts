/** Timing and size options. Durations are in milliseconds on the node's clock. */
export interface AgreementOptions {
    readonly heartbeatMs: number;
    readonly electionTimeoutMinMs: number;
    readonly electionTimeoutMaxMs: number;
    readonly leaseMs: number;
    /** Largest relative error of the rate of a clock; 0.01 is 1%. */
    readonly clockRateError: number;
    /** Time after which an unsuccessful hand-over ends. */
    readonly handOverTimeoutMs: number;
    /** Number of applied entries after which a snapshot is due. */
    readonly snapshotIntervalEntries: number;
    /**
     * Number of characters of applied commands after which a snapshot is due. If the last snapshot was larger, one is due
     * after as many characters as it had, so that snapshots cost no more than the entries that they replace.
     */
    readonly snapshotIntervalChars: number;
    /** Limits of what is retained before a snapshot, so that a follower slightly behind needs no snapshot. */
    readonly retainedEntries: number;
    readonly retainedChars: number;
    /** Limits of one append message, in entries and in characters of their commands. */
    readonly maxBatchEntries: number;
    readonly maxBatchChars: number;
    /**
     * Characters of commands or snapshots that a member receives in a millisecond even when it is slow; what is in flight
     * is repeated only after the time that this leaves for it.
     */
    readonly transferCharsPerMs: number;
    /** Number of uncommitted entries at which further proposals are refused. */
    readonly maxUncommittedEntries: number;
}

/** The defaults of docs/design.md, whose table of figures explains the timing. */
export const defaultAgreementOptions: AgreementOptions = {
    heartbeatMs: 100,
    electionTimeoutMinMs: 400,
    electionTimeoutMaxMs: 800,
    leaseMs: 350,
    clockRateError: 0.01,
    handOverTimeoutMs: 400,
    snapshotIntervalEntries: 1_000,
    snapshotIntervalChars: 1_048_576,
    retainedEntries: 100,
    retainedChars: 262_144,
    maxBatchEntries: 64,
    maxBatchChars: 262_144,
    transferCharsPerMs: 2_000,
    maxUncommittedEntries: 1_000,
};

/** Signals options with which the protocol would be unsafe or could not make progress. */
export class OptionsError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "OptionsError";
    }
}

/** Fills in the defaults and validates the options. Throws OptionsError. */
export function resolveOptions(partial: Partial<AgreementOptions> = {}): AgreementOptions {
    const options = { ...defaultAgreementOptions, ...partial };
    const { heartbeatMs, electionTimeoutMinMs, electionTimeoutMaxMs, leaseMs, clockRateError } = options;
    if (!(clockRateError >= 0 && clockRateError < 1)) {
        throw new OptionsError(`clockRateError must be at least 0 and below 1, got ${clockRateError}`);
    }
    if (!(heartbeatMs > 0 && heartbeatMs < electionTimeoutMinMs && electionTimeoutMinMs <= electionTimeoutMaxMs)) {
        throw new OptionsError("expected 0 < heartbeatMs < electionTimeoutMinMs <= electionTimeoutMaxMs");
    }
    // A slow leader clock prolongs the lease, and a fast voter clock shortens the time that votes are withheld.
    const longestLeaseMs = leaseMs * (1 + clockRateError) / (1 - clockRateError);
    if (leaseMs < 0 || longestLeaseMs >= electionTimeoutMinMs) {
        throw new OptionsError(
            `leaseMs ${leaseMs} can last ${longestLeaseMs.toFixed(1)} ms on a voter's clock, which must be below `
                + `electionTimeoutMinMs ${electionTimeoutMinMs}`,
        );
    }
    if (!(options.transferCharsPerMs > 0)) {
        throw new OptionsError(`transferCharsPerMs must be above 0, got ${options.transferCharsPerMs}`);
    }
    if (options.maxBatchEntries < 1 || options.snapshotIntervalEntries < 1 || options.maxUncommittedEntries < 1) {
        throw new OptionsError("maxBatchEntries, snapshotEvery and maxUncommitted must be at least 1");
    }
    return options;
}
