import { httpCall } from "./http-call.ts";

export interface Address {
    host: string;
    port: number;
}

interface LookupAnswer {
    addresses: Address[];
    validUntil: number;
}

/** What callers know of the entries: kept answers of lookups, until their validity ends. */
export class AddressBook {
    private kept: LookupAnswer = { addresses: [], validUntil: 0 };
    /** `next` is the known entry that is asked first. */
    constructor(private readonly known: readonly Address[], private next = 0) {}

    /** Returns an address to use, other than those in `avoid` when there is another one. */
    async pick(avoid: readonly Address[] = []): Promise<Address> {
        if (Date.now() >= this.kept.validUntil) {
            await this.lookUp();
        }
        const same = (a: Address, b: Address): boolean => a.host === b.host && a.port === b.port;
        const choices = this.kept.addresses.filter(address => !avoid.some(other => same(other, address)));
        const pool = choices.length > 0
            ? choices
            : this.known.filter(address => !avoid.some(other => same(other, address)));
        const usable = pool.length > 0 ? pool : this.known;
        return usable[this.next++ % usable.length] as Address;
    }

    private async lookUp(): Promise<void> {
        for (let i = 0; i < this.known.length; i++) {
            const entry = this.known[(this.next + i) % this.known.length] as Address;
            try {
                const answer = await httpCall({ ...entry, path: "/v1/addresses", limitMs: 1_000 });
                if (answer.status === 200) {
                    this.kept = JSON.parse(answer.body) as LookupAnswer;
                    return;
                }
            }
            catch {
                // The next known entry is asked.
            }
        }
    }
}
