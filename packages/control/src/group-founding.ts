import { foundingState, joiningState, type Membership, type StoredState } from "@lentilramp/agreement";
import type { MetadataFile } from "@lentilramp/journal";
import { type PeerAddress, type RpcClient } from "@lentilramp/protocol";
import { type Clock, type EventLog } from "@lentilramp/runtime";
import type { ControlSettings } from "@lentilramp/settings";
import { decode, encode } from "@msgpack/msgpack";
import { z } from "zod";
import { encodeMemberAddress, type MemberAddress } from "./member-address.ts";

const retryIntervalMs = 200;
const callTimeoutMs = 500;

const memberSchema = z.object({ id: z.string(), address: z.string(), voter: z.boolean() });
const membershipSchema = z.object({ members: z.array(memberSchema), retired: z.array(z.string()) });

/** Answer of `control.identity`. */
export const identityAnswerSchema = z.object({
    identity: z.string(),
    /** Membership with which the process started; absent while it waits for the other founders. */
    membership: membershipSchema.optional(),
});
export type IdentityAnswer = z.infer<typeof identityAnswerSchema>;

/**
 * Determines the initial agreement state of a control process. The first voters exchange the identities of their data
 * folders, and each stores the agreed list of founders before it participates. A process with a new identity joins a
 * group that is already founded.
 */
export class GroupFounding {
    private membership: Membership | undefined;

    constructor(
        private readonly identity: string,
        private readonly settings: ControlSettings,
        private readonly membershipFile: MetadataFile,
        private readonly client: RpcClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {
        if (membershipFile.value !== undefined) {
            this.membership = membershipSchema.parse(decode(membershipFile.value));
        }
    }

    /** Returns the response of this process to `control.identity`. */
    identityAnswer(): IdentityAnswer {
        return { identity: this.identity, membership: this.membership as IdentityAnswer["membership"] };
    }

    /** Resolves with the initial state as soon as all founders or one member of a founded group have responded. */
    async initialState(): Promise<StoredState> {
        while (this.membership === undefined) {
            const answers = await this.queryMembers();
            const founded = answers.find(({ answer }) => answer?.membership !== undefined)?.answer?.membership;
            if (founded !== undefined) {
                return await this.storeMembership(this.isFounder(founded) ? founded : { members: [], retired: [] });
            }
            if (answers.every(({ answer }) => answer !== undefined)) {
                return await this.storeMembership({
                    members: answers.map(({ member, answer }) => ({
                        id: answer?.identity ?? "",
                        address: encodeMemberAddress(member),
                        voter: true,
                    })).sort((a, b) => a.id < b.id ? -1 : 1),
                    retired: [],
                });
            }
            await this.clock.sleepUntil(this.clock.now() + retryIntervalMs);
        }
        return this.toInitialState(this.membership);
    }

    private isFounder(membership: Membership): boolean {
        return membership.members.some(member => member.id === this.identity);
    }

    private async storeMembership(membership: Membership): Promise<StoredState> {
        await this.membershipFile.replace(encode(membership));
        this.membership = membership;
        this.log.info("control.group", {
            identity: this.identity,
            start: membership.members.length === 0 ? "joining" : "founding",
            members: membership.members.length,
        });
        return this.toInitialState(membership);
    }

    private toInitialState(membership: Membership): StoredState {
        return membership.members.length === 0 ? joiningState() : foundingState(membership.members);
    }

    private async queryMembers(): Promise<{ member: MemberAddress; answer: IdentityAnswer | undefined; }[]> {
        return await Promise.all(this.settings.members.map(async member => ({
            member,
            answer: member.name === this.settings.name ? this.identityAnswer() : await this.queryMember(member),
        })));
    }

    private async queryMember(peer: PeerAddress): Promise<IdentityAnswer | undefined> {
        try {
            return await this.client.call(
                peer,
                "control.identity",
                {},
                identityAnswerSchema,
                this.clock.now() + callTimeoutMs,
            );
        }
        catch {
            return undefined;
        }
    }
}
