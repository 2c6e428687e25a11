import { foundingState, joiningState, type Membership, type StoredState } from "@lentilramp/agreement";
import type { MetadataFile } from "@lentilramp/journal";
import { type PeerAddress, type RpcClient } from "@lentilramp/protocol";
import { type Clock, type EventLog } from "@lentilramp/runtime";
import type { ControlSettings } from "@lentilramp/settings";
import { decode, encode } from "@msgpack/msgpack";
import { z } from "zod";
import { encodeMemberAddress, type MemberAddress } from "./member-address.ts";

const retryMs = 200;
const callMs = 500;

const memberSchema = z.object({ id: z.string(), address: z.string(), voter: z.boolean() });
const membershipSchema = z.object({ members: z.array(memberSchema), retired: z.array(z.string()) });

/** Answer of `control.identity`. */
export const identityAnswerSchema = z.object({
    identity: z.string(),
    /** Membership with which the process started, or undefined while it waits for the others. */
    membership: membershipSchema.optional(),
});
export type IdentityAnswer = z.infer<typeof identityAnswerSchema>;

/**
 * Decides with which state a control process starts. The first voters exchange the identities of their data folders
 * and each stores the agreed founders before it takes part. A process with a new identity that meets a founded group
 * joins it instead.
 */
export class GroupFounding {
    private membership: Membership | undefined;

    constructor(
        private readonly identity: string,
        private readonly settings: ControlSettings,
        private readonly file: MetadataFile,
        private readonly client: RpcClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {
        if (file.value !== undefined) {
            this.membership = membershipSchema.parse(decode(file.value));
        }
    }

    /** What this process tells the others. */
    identityAnswer(): IdentityAnswer {
        return { identity: this.identity, membership: this.membership as IdentityAnswer["membership"] };
    }

    /** Resolves with the initial state; waits until all founders answer, or one that belongs to a founded group. */
    async initialState(): Promise<StoredState> {
        while (this.membership === undefined) {
            const answers = await this.askAll();
            const founded = answers.find(({ answer }) => answer?.membership !== undefined)?.answer?.membership;
            if (founded !== undefined) {
                return await this.store(this.isFounder(founded) ? founded : { members: [], retired: [] });
            }
            if (answers.every(({ answer }) => answer !== undefined)) {
                return await this.store({
                    members: answers.map(({ member, answer }) => ({
                        id: answer?.identity ?? "",
                        address: encodeMemberAddress(member),
                        voter: true,
                    })).sort((a, b) => a.id < b.id ? -1 : 1),
                    retired: [],
                });
            }
            await this.clock.sleepUntil(this.clock.now() + retryMs);
        }
        return this.toState(this.membership);
    }

    private isFounder(membership: Membership): boolean {
        return membership.members.some(member => member.id === this.identity);
    }

    private async store(membership: Membership): Promise<StoredState> {
        await this.file.replace(encode(membership));
        this.membership = membership;
        this.log.info("control.group", {
            identity: this.identity,
            start: membership.members.length === 0 ? "joining" : "founding",
            members: membership.members.length,
        });
        return this.toState(membership);
    }

    private toState(membership: Membership): StoredState {
        return membership.members.length === 0 ? joiningState() : foundingState(membership.members);
    }

    private async askAll(): Promise<{ member: MemberAddress; answer: IdentityAnswer | undefined; }[]> {
        return await Promise.all(this.settings.members.map(async member => ({
            member,
            answer: member.name === this.settings.name ? this.identityAnswer() : await this.ask(member),
        })));
    }

    private async ask(peer: PeerAddress): Promise<IdentityAnswer | undefined> {
        try {
            return await this.client.call(
                peer,
                "control.identity",
                {},
                identityAnswerSchema,
                this.clock.now() + callMs,
            );
        }
        catch {
            return undefined;
        }
    }
}
