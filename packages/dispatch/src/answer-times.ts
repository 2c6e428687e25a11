/** Answers of a route from which its answer times count as known, and the number of recent ones that are kept. */
const minSamples = 8;
const maxSamples = 64;
/** Routes that are remembered; the one without an answer for the longest time is forgotten first. */
const maxRoutes = 1_024;

/** Recent times from the admission of requests to the end of their answers, by route. */
export class AnswerTimes {
    private readonly samples = new Map<string, number[]>();

    /** Records the time of a whole answer. */
    record(route: string, answerMs: number): void {
        const times = this.samples.get(route) ?? [];
        // The insertion order of the map is the order of the last answers.
        this.samples.delete(route);
        this.samples.set(route, times);
        times.push(answerMs);
        if (times.length > maxSamples) {
            times.shift();
        }
        if (this.samples.size > maxRoutes) {
            const [oldest = ""] = this.samples.keys();
            this.samples.delete(oldest);
        }
    }

    /** Records that a request which got no whole answer would have taken longer than `answerMs`. */
    recordAtLeast(route: string, answerMs: number): void {
        if (answerMs > (this.longestMs(route) ?? Infinity)) {
            this.record(route, answerMs);
        }
    }

    /** Returns the longest of the recent times, or undefined while too few are known. */
    longestMs(route: string): number | undefined {
        const times = this.samples.get(route) ?? [];
        return times.length < minSamples ? undefined : Math.max(...times);
    }
}
