/** Upper bound of the relative clock rate error of every process (design question 11). */
export const clockRateError = 0.01;

/**
 * Returns the duration in milliseconds that a process must wait by its local clock until `durationMs` has passed by the
 * clock of any other process. Both clocks may be off by the bound, the local one too fast and the other one too slow.
 */
export function extendForClockRateError(durationMs: number): number {
    return Math.ceil(durationMs * (1 + clockRateError) / (1 - clockRateError));
}
