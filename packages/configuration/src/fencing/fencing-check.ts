/**
 * Check of an endpoint that refuses old orders: it remembers the highest fencing number of each duty and refuses lower
 * ones. The stand-in engine and the alarm "fencing number went down" use it.
 */
export class FencingCheck {
    private readonly highest = new Map<string, number>();

    /** Returns true and remembers the number unless a higher one was seen for the duty of the region. */
    accept(region: string, duty: string, fencing: number): boolean {
        const key = `${region}/${duty}`;
        if (fencing < (this.highest.get(key) ?? 0)) {
            return false;
        }
        this.highest.set(key, fencing);
        return true;
    }
}
