/** Network link from this entry to a failure domain. */
export interface Link {
    /** One-way delay in milliseconds. */
    delayMs: number;
    /** Relative cost of traffic over the link; 0 within a failure domain. */
    cost: number;
}

/** Links from the failure domain of one entry to all failure domains. */
export class LinkTable {
    private readonly links: ReadonlyMap<string, Link>;

    constructor(links: Readonly<Record<string, Link>>, private readonly defaultLink: Link = { delayMs: 10, cost: 1 }) {
        this.links = new Map(Object.entries(links));
    }

    /** Returns the link to `failureDomain`, or the default link if none is configured. */
    to(failureDomain: string): Link {
        return this.links.get(failureDomain) ?? this.defaultLink;
    }
}
