import type { Message } from "@lentilramp/agreement";
import { configurationSchema, handOverKindSchema, subscribeRequestSchema } from "@lentilramp/configuration";
import type { RpcServer } from "@lentilramp/protocol";
import { z } from "zod";
import type { AgreementDriver } from "./agreement-driver.ts";
import type { CommandProposer } from "./command-proposer.ts";
import { ControlError } from "./control-error.ts";
import type { GroupFounding } from "./group-founding.ts";
import type { InFlightSurvey } from "./in-flight-survey.ts";
import { addressOf, decodeMemberAddress, memberAddressSchema } from "./member-directory.ts";
import type { MembershipRepair } from "./membership-repair.ts";
import type { ReplicatedConfiguration } from "./replicated-configuration.ts";
import type { RpcTransport } from "./rpc-transport.ts";

const operationId = z.string().min(1).max(128);
const messagesSchema = z.object({
    sender: memberAddressSchema,
    messages: z.array(z.looseObject({ type: z.string(), from: z.string(), to: z.string(), term: z.number() })),
});

/** Parts of the control process that its methods use. They exist only after the group is founded or joined. */
export interface ControlParts {
    driver: AgreementDriver;
    replicated: ReplicatedConfiguration;
    proposer: CommandProposer;
    repair: MembershipRepair;
    transport: RpcTransport;
    survey: InFlightSurvey;
}

async function asRpcError<T>(run: () => Promise<T>): Promise<T> {
    try {
        return await run();
    }
    catch (err) {
        throw err instanceof ControlError ? err.toRpcError() : err;
    }
}

/** JSON-RPC methods of the control process; the table "Messages between processes" of docs/design.md lists them. */
export class ControlMethods {
    private parts: ControlParts | undefined;

    constructor(private readonly server: RpcServer, private readonly founding: GroupFounding) {
        server.method("control.identity", z.object({}), async () => this.founding.answer());
        server.method(
            "status",
            z.object({}),
            async () => this.parts === undefined ? { state: "waiting" } : controlStatus(this.parts),
        );
    }

    /** Adds the methods that need the agreement member. */
    attach(parts: ControlParts): void {
        this.parts = parts;
        const { driver, replicated, repair, transport } = parts;
        this.server.method("agreement.step", messagesSchema, async ({ sender, messages }) => {
            for (const message of messages) {
                transport.learn(message.from, sender);
                driver.receive(message as unknown as Message);
            }
            return {};
        });
        this.server.method("configuration.subscribe", subscribeRequestSchema, req =>
            asRpcError(async () => {
                this.requireLeader(parts);
                return await replicated.subscribe(req);
            }));
        this.server.method("configuration.get", z.object({}), () =>
            asRpcError(async () => {
                await driver.read();
                return { configuration: replicated.store.configuration };
            }));
        this.server.method(
            "control.join",
            z.object({ identity: z.string(), address: memberAddressSchema }),
            async join => {
                return { accepted: repair.request(join) };
            },
        );
        this.attachCommands(parts);
    }

    private attachCommands({ proposer, replicated, survey }: ControlParts): void {
        this.server.method(
            "configuration.propose",
            z.object({ operationId, baseVersion: z.int().min(0), configuration: configurationSchema }),
            params => asRpcError(() => proposer.propose({ type: "propose", ...params })),
        );
        this.server.method(
            "endpoint.drain",
            z.object({ operationId, endpoint: z.string() }),
            params => asRpcError(() => proposer.propose({ type: "drain-endpoint", ...params })),
        );
        this.server.method(
            "endpoint.handOver",
            z.object({
                operationId,
                kind: handOverKindSchema,
                id: z.string(),
                step: z.enum(["planned", "draining", "released", "transferred"]),
            }),
            params =>
                asRpcError(async () => {
                    const observed = params.step === "released"
                        ? {
                            sinceAppliedMs: replicated.drains.sinceAppliedMs(params.kind, params.id, replicated.now()),
                            inFlight: await survey.count(replicated.store.configuration, params.kind, params.id),
                        }
                        : {};
                    return await proposer.propose({ type: "hand-over", ...params, ...observed });
                }),
        );
    }

    private requireLeader({ driver }: ControlParts): void {
        const { role, leader, membership } = driver.status;
        if (role !== "leader") {
            throw new ControlError("not-leader", "this process does not lead", addressOf(membership, leader));
        }
    }
}

/** State at a glance, for operators. */
export function controlStatus({ driver, replicated }: ControlParts): Record<string, unknown> {
    const { role, term, leader, commitIndex, lastIndex, snapshotIndex, membership, leaseUntil } = driver.status;
    const { store } = replicated;
    return {
        state: "running",
        identity: driver.id,
        role,
        term,
        leader: addressOf(membership, leader)?.name,
        leaseUntil,
        commitIndex,
        lastIndex,
        snapshotIndex,
        members: membership.members.map(member => ({
            name: decodeMemberAddress(member).name,
            identity: member.id,
            voter: member.voter,
        })),
        version: store.version,
        subscriptions: replicated.subscriptionCount,
        duties: store.snapshot().duties,
    };
}
