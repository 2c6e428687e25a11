import { divideCapacity, type OfferedWork } from "./fair-shares.ts";
import { maxRetryMs, minRetryMs } from "./retry-spread.ts";
import { type AdmissionLevel, maxListedShares } from "./room-messages.ts";

/** Offered work, in relation to the capacity, above which a level begins and below which it ends. */
const beginAbove = 1.05;
const endBelow = 0.9;
/** Time constant with which a level loosens, in milliseconds. */
const loosenMs = 1_000;
/**
 * Time over which samples are averaged, in milliseconds. Each sample covers up to a sync interval itself, so that an
 * average is of about the last second.
 */
const averagedMs = 750;
/** Sync intervals without a sample after which a level is forgotten, for instance of a steward that leads again. */
const forgetIntervals = 3;
/** Part of a sync interval by which the second sample may be early. */
const earlyPart = 0.1;
/** Time constant of the correction of expected slot times, in milliseconds; several answers of an engine. */
const correctionMs = 5_000;
/** Bounds of that correction: an estimate of slot times that is further off is no longer plausible. */
const minCorrection = 0.5;
const maxCorrection = 2;
/** Served work, in relation to the capacity, from which the correction follows it; less of it is noise. */
const minServedPart = 0.05;
/** Share from which a rank counts as admitted whole. */
const wholeShare = 0.995;

/** Work of one rank and workspace, as a rate. */
export interface WorkRate {
    rank: number;
    workspace: string;
    /** Average number of slots that the arriving requests would occupy. */
    slots: number;
    /** Prompt tokens per millisecond that engines would have to read. */
    tokensPerMs: number;
    /** Slots that the served requests were expected to occupy, and that they have occupied. */
    servedSlots: number;
    occupiedSlots: number;
}

/** What the ready endpoints of a service can do. */
export interface ServiceCapacity {
    /** Slots; those of an endpoint where work takes longer than usual count less. */
    slots: number;
    /** Average factor by which work takes longer than usual on account of that. */
    slowdown: number;
    /** Prompt tokens per millisecond; undefined for a plain service, and while it has not been measured. */
    tokensPerMs: number | undefined;
}

/** Inputs of the last decision, for the log. */
export interface AllocatorInputs {
    /** Offered work in relation to the capacity, by the resource that is scarcer. */
    pressure: number;
    resource: "slots" | "prompt";
    offeredSlots: number;
    offeredTokensPerMs: number;
    capacity: ServiceCapacity;
    /** Measured slot time of served requests in relation to the expected one. */
    correction: number;
}

interface Sample {
    at: number;
    rates: ReadonlyMap<string, WorkRate>;
}

/**
 * Decides on the admission level of one service: compares the work of about the last second with the capacity of its
 * endpoints, and divides the capacity among ranks and workspaces when it does not suffice.
 */
export class RoomAllocator {
    private samples: Sample[] = [];
    private aboveSince: number | undefined;
    private active = false;
    private correction = 1;
    /** Admitted shares by rank, and by rank and workspace. */
    private readonly rankShares = new Map<number, number>();
    private readonly shares = new Map<string, { rank: number; workspace: string; share: number; }>();
    private refusedPart = 0;
    private lastInputs: AllocatorInputs | undefined;

    /** Inputs of the last decision; undefined before the first one. */
    get inputs(): AllocatorInputs | undefined {
        return this.lastInputs;
    }

    /**
     * Takes the work of the whole fleet at one instant and returns the level in force; undefined while there is none.
     * `intervalMs` is the interval between two syncs of one ingress.
     */
    observe(
        rates: readonly WorkRate[],
        capacity: ServiceCapacity,
        now: number,
        intervalMs: number,
    ): AdmissionLevel | undefined {
        const lastAt = this.samples.at(-1)?.at ?? now;
        if (now - lastAt > intervalMs * forgetIntervals) {
            this.reset();
            this.correction = 1;
        }
        this.samples = [
            ...this.samples.filter(({ at }) => now - at < averagedMs),
            { at: now, rates: new Map(rates.map(rate => [`${rate.rank} ${rate.workspace}`, rate])) },
        ];
        if (capacity.slots <= 0) {
            // Requests are refused for lack of endpoints; there is nothing to divide.
            this.reset();
            return undefined;
        }
        const average = this.averageRates();
        this.correct(average, capacity, now - lastAt);
        const offered = this.offeredParts(average, capacity);
        this.lastInputs = offered;
        // A burst that is over is still in the average.
        const newest = this.offeredParts(rates, capacity).pressure;
        this.updateState(Math.min(offered.pressure, newest), offered.pressure, now, intervalMs);
        if (!this.active) {
            return undefined;
        }
        this.updateShares(offered.parts, now - lastAt);
        return this.describeLevel();
    }

    private reset(): void {
        this.samples = [];
        this.aboveSince = undefined;
        this.end();
    }

    private end(): void {
        this.active = false;
        this.rankShares.clear();
        this.shares.clear();
        this.refusedPart = 0;
    }

    private averageRates(): WorkRate[] {
        const sums = new Map<string, WorkRate>();
        const weight = 1 / this.samples.length;
        for (const { rates } of this.samples) {
            for (const [key, rate] of rates) {
                const { rank, workspace } = rate;
                const sum = sums.get(key)
                    ?? { rank, workspace, slots: 0, tokensPerMs: 0, servedSlots: 0, occupiedSlots: 0 };
                sum.slots += rate.slots * weight;
                sum.tokensPerMs += rate.tokensPerMs * weight;
                sum.servedSlots += rate.servedSlots * weight;
                sum.occupiedSlots += rate.occupiedSlots * weight;
                sums.set(key, sum);
            }
        }
        return [...sums.values()];
    }

    /** Corrects the expected slot times by those of the requests that were served. */
    private correct(average: readonly WorkRate[], { slots, slowdown }: ServiceCapacity, elapsedMs: number): void {
        const expected = average.reduce((sum, { servedSlots }) => sum + servedSlots, 0);
        const occupied = average.reduce((sum, { occupiedSlots }) => sum + occupiedSlots, 0);
        if (expected >= slots * minServedPart) {
            // Expected times may hold the slowness of the endpoints already, which the capacity counts too. The bounds
            // leave room for that, or it would count twice.
            const lowest = minCorrection / Math.max(1, slowdown);
            const highest = maxCorrection / Math.min(1, slowdown);
            const measured = Math.min(highest, Math.max(lowest, occupied / expected / slowdown));
            this.correction += (measured - this.correction) * (1 - Math.exp(-elapsedMs / correctionMs));
        }
    }

    /** Returns the offered work as parts of the capacity of the resource that is scarcer. */
    private offeredParts(
        average: readonly WorkRate[],
        capacity: ServiceCapacity,
    ): AllocatorInputs & { parts: OfferedWork; } {
        const offeredSlots = average.reduce((sum, { slots }) => sum + slots, 0) * this.correction;
        const offeredTokensPerMs = average.reduce((sum, { tokensPerMs }) => sum + tokensPerMs, 0);
        const slotPressure = offeredSlots / capacity.slots;
        // A rate that is not above zero is no measurement.
        const promptRate = capacity.tokensPerMs !== undefined && capacity.tokensPerMs > 0
            ? capacity.tokensPerMs
            : Infinity;
        const promptPressure = offeredTokensPerMs / promptRate;
        const resource = promptPressure > slotPressure ? "prompt" : "slots";
        const parts = new Map<number, Map<string, number>>();
        for (const { rank, workspace, slots, tokensPerMs } of average) {
            const workspaces = parts.get(rank) ?? new Map<string, number>();
            parts.set(rank, workspaces);
            workspaces.set(
                workspace,
                resource === "prompt"
                    ? tokensPerMs / promptRate
                    : slots * this.correction / capacity.slots,
            );
        }
        const pressure = Math.max(slotPressure, promptPressure);
        const { correction } = this;
        return { pressure, resource, offeredSlots, offeredTokensPerMs, capacity, correction, parts };
    }

    /** `lowest` is the lower one of the average and the newest pressure. */
    private updateState(lowest: number, average: number, now: number, intervalMs: number): void {
        if (lowest <= beginAbove) {
            this.aboveSince = undefined;
        }
        else {
            this.aboveSince ??= now;
            this.active ||= now - this.aboveSince >= intervalMs * (1 - earlyPart);
        }
        if (this.active && average < endBelow) {
            this.end();
        }
    }

    private updateShares(offered: OfferedWork, elapsedMs: number): void {
        const loosened = 1 - Math.exp(-elapsedMs / loosenMs);
        const move = (share: number, target: number): number =>
            target < share ? target : share + (target - share) * loosened;
        const grants = divideCapacity(offered, 1);
        this.refusedPart = 0;
        for (const [rank, { limit, isLeast }] of grants) {
            // The least part of a rank is kept at each instant: following only its falls would take some of it away.
            const follow = (share: number, target: number): number => isLeast ? target : move(share, target);
            const workspaces = offered.get(rank) ?? new Map<string, number>();
            const targets = [...workspaces].map(([workspace, part]) => ({
                workspace,
                part,
                target: part <= limit ? 1 : limit / part,
            }));
            for (const { workspace, part, target } of targets) {
                const key = `${rank} ${workspace}`;
                const share = follow(this.shares.get(key)?.share ?? 1, target);
                this.shares.set(key, { rank, workspace, share });
                this.refusedPart += part * (1 - share);
            }
            // A workspace that has not been heard of yet gets what the least restricted one gets.
            const rankTarget = Math.max(0, ...targets.map(({ target }) => target));
            this.rankShares.set(rank, follow(this.rankShares.get(rank) ?? 1, rankTarget));
        }
        this.loosenSilent(offered, share => move(share, 1));
    }

    /** Loosens the shares of ranks and workspaces of which nothing has arrived lately. */
    private loosenSilent(offered: OfferedWork, loosen: (share: number) => number): void {
        for (const [key, entry] of this.shares) {
            if (offered.get(entry.rank)?.has(entry.workspace) !== true) {
                entry.share = loosen(entry.share);
                if (entry.share >= wholeShare) {
                    this.shares.delete(key);
                }
            }
        }
        for (const [rank, share] of this.rankShares) {
            if (!offered.has(rank)) {
                this.rankShares.set(rank, loosen(share));
            }
        }
    }

    private describeLevel(): AdmissionLevel {
        const ranks = [...this.rankShares].filter(([, share]) => share < wholeShare);
        const lower = [...this.shares.values()]
            .filter(({ rank, share }) => share < Math.min(wholeShare, this.rankShares.get(rank) ?? 1))
            .sort((a, b) => a.share - b.share)
            .slice(0, maxListedShares);
        return {
            ranks: ranks.map(([rank, share]) => [rank, roundShare(share)]),
            workspaces: lower.map(({ rank, workspace, share }) => [rank, workspace, roundShare(share)]),
            clearMs: Math.round(Math.min(maxRetryMs, Math.max(minRetryMs, this.refusedPart * 1_000))),
        };
    }
}

function roundShare(share: number): number {
    return Math.round(share * 1_000) / 1_000;
}
