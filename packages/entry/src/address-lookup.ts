import type { EntryMember } from "@lentilramp/configuration";

/** Time for which callers may cache an answer, in milliseconds. */
export const addressValidityMs = 30_000;
const maxAddresses = 4;

export interface LookupAnswer {
    addresses: { host: string; port: number; failureDomain: string; }[];
    /** Time until which the answer may be cached, in milliseconds since the epoch. */
    validUntil: number;
}

/**
 * Returns addresses of usable entries, starting with one in `localDomain`, the failure domain of the entry that handles
 * the lookup. `rotation` spreads callers over the entries of a failure domain.
 */
export function lookUpAddresses(
    entries: readonly EntryMember[],
    isUsable: (entry: EntryMember) => boolean,
    localDomain: string,
    rotation: number,
    now: number,
): LookupAnswer {
    const rotate = (list: readonly EntryMember[]): EntryMember[] => {
        const shift = list.length === 0 ? 0 : rotation % list.length;
        return [...list.slice(shift), ...list.slice(0, shift)];
    };
    const candidates = entries.filter(isUsable);
    const localEntries = rotate(candidates.filter(entry => entry.failureDomain === localDomain));
    const remoteEntries = rotate(candidates.filter(entry => entry.failureDomain !== localDomain));
    const [firstLocal, ...otherLocal] = localEntries;
    // The second address is in another failure domain, so that an answer stays useful when one domain fails.
    const [firstRemote, ...otherRemote] = remoteEntries;
    const orderedEntries = [firstLocal, firstRemote, ...otherLocal, ...otherRemote].filter(entry =>
        entry !== undefined
    );
    return {
        addresses: orderedEntries.slice(0, maxAddresses).map(({ host, port, failureDomain }) => ({
            host,
            port,
            failureDomain,
        })),
        validUntil: now + addressValidityMs,
    };
}
