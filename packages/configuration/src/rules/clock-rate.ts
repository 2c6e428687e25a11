/** Bound on the clock rate error of every process (design question 11). */
export const clockRateError = 0.01;

/**
 * Returns how long a process must wait, by its own clock, until `durationMs` has passed by the clock of any other
 * process: both clocks may be wrong by the bound, one too fast and the other too slow.
 */
export function extendForClockRateError(durationMs: number): number {
    return Math.ceil(durationMs * (1 + clockRateError) / (1 - clockRateError));
}
