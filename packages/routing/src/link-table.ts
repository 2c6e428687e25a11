/** Link from this entry to a failure domain. */
export interface Link {
    /** One-way delay in milliseconds. */
    delayMs: number;
    /** Relative price of traffic over the link; 0 inside a failure domain. */
    cost: number;
}

/** Links from the failure domain of one entry to the others. */
export class LinkTable {
    private readonly links: ReadonlyMap<string, Link>;

    constructor(links: Readonly<Record<string, Link>>, private readonly unknown: Link = { delayMs: 10, cost: 1 }) {
        this.links = new Map(Object.entries(links));
    }

    /** Returns the link to `failureDomain`, or the default for a domain without a measured link. */
    to(failureDomain: string): Link {
        return this.links.get(failureDomain) ?? this.unknown;
    }
}
