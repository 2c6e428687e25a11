/** Returns the current state of one part of the process as a JSON value without secrets. */
export type DumpSource = () => unknown;

/** Collects the state of all parts of a process for `GET /dump` and for the dump signal. */
export class StateDump {
    private readonly sources = new Map<string, DumpSource>();

    add(name: string, source: DumpSource): void {
        this.sources.set(name, source);
    }

    /** Returns an object with one entry per source; the entry of a source that throws holds the error. */
    collect(): Record<string, unknown> {
        const result: Record<string, unknown> = {};
        for (const [name, source] of this.sources) {
            try {
                result[name] = source();
            }
            catch (err) {
                result[name] = { error: String(err) };
            }
        }
        return result;
    }
}
