/**
 * Rejects outdated orders at an endpoint: it records the highest fencing number of each duty and rejects lower ones.
 */
export class FencingCheck {
    private readonly highestByDuty = new Map<string, number>();

    /** Records the number and returns true, or returns false when the duty of the region has a higher one on record. */
    accept(region: string, duty: string, fencing: number): boolean {
        const key = `${region}/${duty}`;
        if (fencing < (this.highestByDuty.get(key) ?? 0)) {
            return false;
        }
        this.highestByDuty.set(key, fencing);
        return true;
    }
}
