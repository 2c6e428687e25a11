import type { Member, Membership, NodeId } from "@lentilramp/agreement";
import { z } from "zod";

/** Name and network address of a member; its JSON text is the opaque `address` of an agreement member. */
export const memberAddressSchema = z.strictObject({
    name: z.string(),
    host: z.string(),
    port: z.int().min(1).max(65_535),
    failureDomain: z.string(),
});

export type MemberAddress = z.infer<typeof memberAddressSchema>;

export function encodeMemberAddress(address: MemberAddress): string {
    const { name, host, port, failureDomain } = address;
    return JSON.stringify({ name, host, port, failureDomain });
}

export function decodeMemberAddress(member: Member): MemberAddress {
    return memberAddressSchema.parse(JSON.parse(member.address));
}

/** Returns the address of the member with this identity, or undefined if there is no such member. */
export function addressOf(membership: Membership, id: NodeId | undefined): MemberAddress | undefined {
    const member = membership.members.find(other => other.id === id);
    return member === undefined ? undefined : decodeMemberAddress(member);
}
