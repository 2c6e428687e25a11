import { foundingState, joiningState, type StoredState } from "@lentilramp/agreement";
import { encodeMemberAddress, type MemberAddress } from "@lentilramp/control";
import type { MetadataFile } from "@lentilramp/journal";
import type { EventLog } from "@lentilramp/runtime";
import { z } from "zod";

const choiceSchema = z.object({
    /** Identity in the group. */
    id: z.string(),
    /** Hosts of the founders, this one included; empty when this process joins. */
    founders: z.array(z.string()),
});
type Choice = z.infer<typeof choiceSchema>;

export interface FoundingInput {
    selfAddress: MemberAddress;
    seedHosts: readonly string[];
    firstStart: boolean;
    /** Identity of the data folder, used by a process that joins. */
    folderIdentity: string;
}

/** Address of a steward, of which only the host is known: all stewards use the same port. */
export function stewardAddress(host: string, port: number): MemberAddress {
    return { name: `${host}:${port}`, host, port, failureDomain: "" };
}

function founderId(host: string, port: number): string {
    return `founder@${host}:${port}`;
}

/**
 * Decides once with which state a steward starts, and stores the decision before it takes part. At the first start of
 * the whole system the seeds found the group, with identities derived from their addresses, so that no message is
 * needed and no other group can come to be. Every other process joins under the identity of its data folder.
 */
export async function decideFounding(
    input: FoundingInput,
    file: MetadataFile,
    log: EventLog,
): Promise<{ id: string; state: StoredState; }> {
    const { selfAddress, seedHosts, firstStart, folderIdentity } = input;
    let choice: Choice;
    if (file.value !== undefined) {
        choice = choiceSchema.parse(JSON.parse(Buffer.from(file.value).toString("utf8")));
    }
    else {
        const founds = firstStart && seedHosts.includes(selfAddress.host);
        choice = founds
            ? { id: founderId(selfAddress.host, selfAddress.port), founders: [...seedHosts] }
            : { id: folderIdentity, founders: [] };
        await file.replace(Buffer.from(JSON.stringify(choice)));
    }
    log.info("steward.group", { id: choice.id, start: choice.founders.length > 0 ? "founding" : "joining" });
    if (choice.founders.length === 0) {
        return { id: choice.id, state: joiningState() };
    }
    const members = [...choice.founders].sort().map(host => ({
        id: founderId(host, selfAddress.port),
        address: encodeMemberAddress(stewardAddress(host, selfAddress.port)),
    }));
    return { id: choice.id, state: foundingState(members) };
}
