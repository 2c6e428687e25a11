import type { EntryMember } from "@lentilramp/configuration";

/** Time for which callers may keep an answer, in milliseconds. */
export const addressValidityMs = 30_000;
const maxAddresses = 4;

export interface LookupAnswer {
    addresses: { host: string; port: number; failureDomain: string; }[];
    /** Instant until which the answer may be kept, in milliseconds since the epoch. */
    validUntil: number;
}

/**
 * Chooses the addresses to name: usable entries, those of the asked entry's failure domain first. `rotation` spreads
 * callers over the entries of a failure domain.
 */
export function lookUpAddresses(
    entries: readonly EntryMember[],
    usable: (entry: EntryMember) => boolean,
    ownDomain: string,
    rotation: number,
    now: number,
): LookupAnswer {
    const rotate = (list: readonly EntryMember[]): EntryMember[] => {
        const shift = list.length === 0 ? 0 : rotation % list.length;
        return [...list.slice(shift), ...list.slice(0, shift)];
    };
    const candidates = entries.filter(usable);
    const own = rotate(candidates.filter(entry => entry.failureDomain === ownDomain));
    const others = rotate(candidates.filter(entry => entry.failureDomain !== ownDomain));
    const [first, ...restOwn] = own;
    // The second address lies in another failure domain, so that an answer survives the loss of one.
    const [second, ...restOthers] = others;
    const ordered = [first, second, ...restOwn, ...restOthers].filter(entry => entry !== undefined);
    return {
        addresses: ordered.slice(0, maxAddresses).map(({ host, port, failureDomain }) => ({
            host,
            port,
            failureDomain,
        })),
        validUntil: now + addressValidityMs,
    };
}
