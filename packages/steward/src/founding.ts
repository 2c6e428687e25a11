import { foundingState, joiningState, type StoredState } from "@lentilramp/agreement";
import { encodeMemberAddress, type MemberAddress } from "@lentilramp/control";
import type { MetadataFile } from "@lentilramp/journal";
import type { EventLog } from "@lentilramp/runtime";
import { z } from "zod";

const decisionSchema = z.object({
    /** Identity of this process in the group. */
    id: z.string(),
    /** Hosts of the founders, including this one; empty if this process joins. */
    founders: z.array(z.string()),
});
type FoundingDecision = z.infer<typeof decisionSchema>;

export interface FoundingInput {
    /** Address of this process. */
    selfAddress: MemberAddress;
    seedHosts: readonly string[];
    firstStart: boolean;
    /** Identity of the data folder; a process that joins uses it as its own. */
    folderIdentity: string;
}

/** Returns the address of a steward from its host; all stewards use the same port. */
export function stewardAddress(host: string, port: number): MemberAddress {
    return { name: `${host}:${port}`, host, port, failureDomain: "" };
}

function founderId(host: string, port: number): string {
    return `founder@${host}:${port}`;
}

/**
 * Decides once whether a steward founds or joins a group, and stores the decision before it takes effect. At the first
 * start of the whole system the seeds found the group with identities derived from their addresses. This needs no
 * messages and cannot create a second group. Every other process joins under the identity of its data folder.
 */
export async function decideFounding(
    input: FoundingInput,
    file: MetadataFile,
    log: EventLog,
): Promise<{ id: string; state: StoredState; }> {
    const { selfAddress, seedHosts, firstStart, folderIdentity } = input;
    let decision: FoundingDecision;
    if (file.value !== undefined) {
        decision = decisionSchema.parse(JSON.parse(Buffer.from(file.value).toString("utf8")), { jitless: true });
    }
    else {
        const isFounder = firstStart && seedHosts.includes(selfAddress.host);
        decision = isFounder
            ? { id: founderId(selfAddress.host, selfAddress.port), founders: [...seedHosts] }
            : { id: folderIdentity, founders: [] };
        await file.replace(Buffer.from(JSON.stringify(decision)));
    }
    log.info("steward.group", { id: decision.id, start: decision.founders.length > 0 ? "founding" : "joining" });
    if (decision.founders.length === 0) {
        return { id: decision.id, state: joiningState() };
    }
    const members = [...decision.founders].sort().map(host => ({
        id: founderId(host, selfAddress.port),
        address: encodeMemberAddress(stewardAddress(host, selfAddress.port)),
    }));
    return { id: decision.id, state: foundingState(members) };
}
