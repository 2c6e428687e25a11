import { sendHttpRequest } from "./http-request.ts";

export interface Address {
    host: string;
    port: number;
}

interface LookupResponse {
    addresses: Address[];
    validUntil: number;
}

/** Resolves the addresses of entries for a caller and caches the last lookup response until its validity ends. */
export class EntryResolver {
    private lastLookup: LookupResponse = { addresses: [], validUntil: 0 };

    /** Creates a resolver that starts with the entry at `nextIndex` of `knownEntries`. */
    constructor(private readonly knownEntries: readonly Address[], private nextIndex = 0) {}

    /** Returns the address of an entry, which is one of those in `avoid` only if there is no other. */
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
                // The loop continues with the next known entry.
            }
        }
    }
}
