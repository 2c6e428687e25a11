import { configurationSchema, handOverKindSchema, subscribeRequestSchema } from "@lentilramp/configuration";
import type { RpcServer } from "@lentilramp/protocol";
import { z } from "zod";
import type { AgreementDriver } from "./agreement-driver.ts";
import { agreementMessagesSchema } from "./agreement-messages.ts";
import type { CommandProposer } from "./command-proposer.ts";
import { ControlError } from "./control-error.ts";
import type { GroupFounding } from "./group-founding.ts";
import type { InFlightCounter } from "./in-flight-counter.ts";
import { addressOf, decodeMemberAddress, memberAddressSchema } from "./member-address.ts";
import type { MembershipRepair } from "./membership-repair.ts";
import type { ReplicatedConfiguration } from "./replicated-configuration.ts";
import type { RpcTransport } from "./rpc-transport.ts";

const operationId = z.string().min(1).max(128);

/** Components that the methods use. They exist only after the process has founded or joined a group. */
export interface ControlComponents {
    driver: AgreementDriver;
    replicatedConfiguration: ReplicatedConfiguration;
    proposer: CommandProposer;
    membershipRepair: MembershipRepair;
    transport: RpcTransport;
    inFlightCounter: InFlightCounter;
}

/** Runs the function and converts a `ControlError` to the JSON-RPC error that the caller receives. */
async function withRpcErrors<T>(run: () => Promise<T>): Promise<T> {
    try {
        return await run();
    }
    catch (err) {
        throw err instanceof ControlError ? err.toRpcError() : err;
    }
}

/** JSON-RPC methods of the control process; the table "Messages between processes" of docs/design.md lists them. */
export class ControlMethods {
    private components: ControlComponents | undefined;

    constructor(private readonly server: RpcServer, private readonly founding: GroupFounding) {
        server.method("control.identity", z.object({}), async () => this.founding.identityAnswer());
        server.method(
            "status",
            z.object({}),
            async () => this.components === undefined ? { state: "waiting" } : controlStatus(this.components),
        );
    }

    /** Registers the methods that need the agreement member. */
    attach(components: ControlComponents): void {
        this.components = components;
        const { driver, replicatedConfiguration, membershipRepair, transport } = components;
        this.server.method("agreement.step", agreementMessagesSchema, async ({ sender, messages }) => {
            for (const message of messages) {
                transport.recordAddress(message.from, sender);
                driver.receive(message);
            }
            return {};
        });
        this.server.method("configuration.subscribe", subscribeRequestSchema, req =>
            withRpcErrors(async () => {
                this.requireLeader(components);
                return await replicatedConfiguration.subscribe(req);
            }));
        this.server.method("configuration.get", z.object({}), () =>
            withRpcErrors(async () => {
                await driver.confirmRead();
                return { configuration: replicatedConfiguration.store.configuration };
            }));
        this.server.method(
            "control.join",
            z.object({ identity: z.string(), address: memberAddressSchema }),
            async join => {
                return { accepted: membershipRepair.requestJoin(join) };
            },
        );
        this.attachCommands(components);
    }

    private attachCommands({ proposer, replicatedConfiguration, inFlightCounter }: ControlComponents): void {
        this.server.method(
            "configuration.propose",
            z.object({ operationId, baseVersion: z.int().min(0), configuration: configurationSchema }),
            params => withRpcErrors(() => proposer.propose({ type: "propose", ...params })),
        );
        this.server.method(
            "endpoint.drain",
            z.object({ operationId, endpoint: z.string() }),
            params => withRpcErrors(() => proposer.propose({ type: "drain-endpoint", ...params })),
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
                withRpcErrors(async () => {
                    const observed = params.step === "released"
                        ? {
                            sinceAppliedMs: replicatedConfiguration.drains.sinceAppliedMs(
                                params.kind,
                                params.id,
                                replicatedConfiguration.now(),
                            ),
                            inFlight: await inFlightCounter.count(
                                replicatedConfiguration.store.configuration,
                                params.kind,
                                params.id,
                            ),
                        }
                        : {};
                    return await proposer.propose({ type: "hand-over", ...params, ...observed });
                }),
        );
    }

    private requireLeader({ driver }: ControlComponents): void {
        const { role, leader, membership } = driver.status;
        if (role !== "leader") {
            throw new ControlError("not-leader", "this process is not the leader", addressOf(membership, leader));
        }
    }
}

/** Returns the status of the agreement member and the configuration for operators. */
export function controlStatus({ driver, replicatedConfiguration }: ControlComponents): Record<string, unknown> {
    const { role, term, leader, commitIndex, lastIndex, snapshotIndex, membership, leaseUntil } = driver.status;
    const { store } = replicatedConfiguration;
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
        subscriptions: replicatedConfiguration.subscriptionCount,
        duties: store.snapshot().duties,
    };
}
