import { sendHttpRequest } from "./http-request.ts";

export interface Address {
    host: string;
    port: number;
}

interface LookupResponse {
    addresses: Address[];
    validUntil: number;
}

/** What callers know of the entries: kept answers of lookups, until their validity ends. */
export class EntryResolver {
    private lastLookup: LookupResponse = { addresses: [], validUntil: 0 };
    /** `next` is the known entry that is asked first. */
    constructor(private readonly knownEntries: readonly Address[], private nextIndex = 0) {}

    /** Returns an address to use, other than those in `avoid` when there is another one. */
    async pick(avoid: readonly Address[] = []): Promise<Address> {
        if (Date.now() >= this.lastLookup.validUntil) {
            await this.lookUp();
        }
        const isSameAddress = (a: Address, b: Address): boolean => a.host === b.host && a.port === b.port;
        const resolvedEntries = this.lastLookup.addresses.filter(address =>
            !avoid.some(other => isSameAddress(other, address))
        );
        const preferredEntries = resolvedEntries.length > 0
            ? resolvedEntries
            : this.knownEntries.filter(address => !avoid.some(other => isSameAddress(other, address)));
        const candidates = preferredEntries.length > 0 ? preferredEntries : this.knownEntries;
        return candidates[this.nextIndex++ % candidates.length] as Address;
    }

    private async lookUp(): Promise<void> {
        for (let i = 0; i < this.knownEntries.length; i++) {
            const entry = this.knownEntries[(this.nextIndex + i) % this.knownEntries.length] as Address;
            try {
                const res = await sendHttpRequest({ ...entry, path: "/v1/addresses", timeoutMs: 1_000 });
                if (res.status === 200) {
                    this.lastLookup = JSON.parse(res.body) as LookupResponse;
                    return;
                }
            }
            catch {
                // The next known entry is asked.
            }
        }
    }
}
