import {
    agreementMessagesSchema,
    memberAddressSchema,
    type MembershipRepair,
    type RpcTransport,
} from "@lentilramp/control";
import { decodeMemberAddress } from "@lentilramp/control";
import {
    type OriginAnswer,
    originRequestSchema,
    rosterSchema,
    type SyncAnswer,
    type SyncRequest,
    syncRequestSchema,
} from "@lentilramp/exchange";
import { blockedPartSchema, originLivesSchema, originReportsSchema, ownRecord } from "@lentilramp/fleet";
import type { RpcServer } from "@lentilramp/protocol";
import { z } from "zod";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { leaderAddress } from "./leader-address.ts";
import type { MemberRetirement } from "./member-retirement.ts";
import type { RolloutDirector } from "./rollout-director.ts";
import type { StewardCore } from "./steward-core.ts";
import { errorMessage } from "./steward-core.ts";
import type { StewardState } from "./steward-state.ts";
import type { SuspectVerdicts } from "./suspect-verdicts.ts";
import { SyncServer } from "./sync-server.ts";
import type { releaseAnswerSchema } from "./vote-release.ts";

/** Time within which a majority has to confirm a leader for an answer about versions, in milliseconds. */
const confirmTimeoutMs = 200;
/** Largest number of origins in one answer to another steward. */
const maxCopiedOrigins = 50_000;

export const submitAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted"), version: z.number() }),
    z.object({ kind: z.literal("invalid"), reason: z.string() }),
    z.object({ kind: z.literal("unavailable"), reason: z.string() }),
]);
export const readAnswerSchema = z.object({
    confirmed: z.boolean(),
    text: z.string().optional(),
});
/** Answer to the RPC methods `prompt-parts.list` and `prompt-parts.lift`. */
export const promptPartsAnswerSchema = z.object({
    leading: z.boolean(),
    /** Address of the leader, if another steward leads. */
    leader: z.object({ host: z.string(), port: z.int() }).optional(),
    blocked: z.array(blockedPartSchema),
    /** Whether the part or request was blocked and its verdict has been ended. */
    lifted: z.boolean().optional(),
});
export const rosterAnswerSchema = z.object({
    leading: z.boolean(),
    /** Absent if the caller's roster is current. */
    roster: rosterSchema.optional(),
    /** Usage counts by ingress lifetime, window and workspace; empty unless the request asks for them. */
    usage: z.record(z.string(), z.record(z.string(), z.record(z.string(), z.number()))),
    /** Origins of streams from the number of the request on; absent from stewards that do not collect them. */
    origins: z.object({
        collection: z.string(),
        next: z.number(),
        reports: originReportsSchema,
        /** Lives of these origins; absent from stewards of earlier versions. */
        lives: originLivesSchema.optional().catch(undefined),
    }).optional(),
});

/** Components that the methods of a steward use. */
export interface StewardParts {
    core: StewardCore;
    state: StewardState;
    coordinator: FleetCoordinator;
    repair: MembershipRepair;
    retirement: MemberRetirement;
    transport: RpcTransport;
    verdicts: SuspectVerdicts;
    /** Undefined if the deployment does not roll versions out. */
    rollouts?: RolloutDirector;
    /** Whether this steward has assumed the duties in the current term. */
    holdsDuties: () => boolean;
}

/** Answers the sync of an ingress. */
function answerSync(req: SyncRequest, { core, state, coordinator, rollouts, holdsDuties }: StewardParts): SyncAnswer {
    const { membership } = core.driver.status;
    // A copy that may be outdated is not handed out: an ingress that starts would put withdrawn keys in force again.
    const newestCatalog = state.isCurrent ? state.catalog : undefined;
    const common = {
        stewards: membership.members.filter(({ voter }) => voter).map(member => {
            const { host, port } = decodeMemberAddress(member);
            return { host, port };
        }),
        catalog: newestCatalog !== undefined && newestCatalog.version > req.catalogVersion
            ? newestCatalog
            : undefined,
        engineRates: state.engineRates,
        current: state.isCurrent,
        // Ingresses need the keys alone; the evidence is for operators.
        blockedParts: state.isCurrent && state.blocked.tag !== req.blockedTag
            ? state.blockedParts.map(({ part }) => ({ part, endpoints: [] }))
            : undefined,
        blockedTag: state.isCurrent ? state.blocked.tag : undefined,
        rollouts: rollouts?.notices(req.rolloutRevision),
    };
    if (!holdsDuties()) {
        return {
            ...common,
            leading: false,
            leader: state.isLeader ? undefined : leaderAddress(core.driver),
            // Lets an ingress that starts while there is no leader use its share of the caps.
            members: state.ingressCount,
        };
    }
    return { ...common, leading: true, ...coordinator.sync(req, state.blocked.keys) };
}

/** Returns what this steward knows of the origins of streams. */
async function answerOrigins(
    { keys, services }: z.infer<typeof originRequestSchema>,
    parts: StewardParts,
): Promise<OriginAnswer> {
    const { core, coordinator, holdsDuties } = parts;
    const isUnknown = (key: string): boolean => coordinator.origins.find(key, core.clock.now()) === undefined;
    const single = keys.some(isUnknown) ? await confirmedSingleVersions(services, parts) : {};
    return {
        leading: holdsDuties(),
        origins: Object.fromEntries(keys.flatMap(key => {
            const entry = coordinator.origins.find(key, core.clock.now());
            return entry === undefined ? [] : [[key, entry.origin]];
        })),
        single,
    };
}

/**
 * Returns the only version that can have begun a stream so far of each service that has one. A leader that was held may
 * have a successor, whose list shows more; a majority knows of that one.
 */
async function confirmedSingleVersions(
    services: readonly string[],
    { core, coordinator, holdsDuties }: StewardParts,
): Promise<Record<string, string>> {
    const singleVersions = (): [string, string][] => {
        const versions = holdsDuties() ? ownRecord(coordinator.singleVersions()) : {};
        return services.flatMap(service => {
            const version = versions[service];
            return version === undefined ? [] : [[service, version]];
        });
    };
    if (singleVersions().length === 0) {
        return {};
    }
    const isConfirmed = await Promise.race([
        core.confirmLeadership().then(() => true, () => false),
        core.clock.sleepUntil(core.clock.now() + confirmTimeoutMs).then(() => false),
    ]);
    return isConfirmed ? Object.fromEntries(singleVersions()) : {};
}

function copyOrigins(
    { collection, next }: { collection: string; next: number; },
    { core, coordinator }: StewardParts,
): z.infer<typeof rosterAnswerSchema>["origins"] {
    const from = collection === coordinator.collection ? next : 0;
    return {
        collection: coordinator.collection,
        ...coordinator.origins.reportsFrom(from, maxCopiedOrigins, core.clock.now()),
    };
}

/** Registers the RPC methods of a steward, and returns the server of the syncs for the metrics. */
export function attachStewardMethods(server: RpcServer, parts: StewardParts): SyncServer {
    const { core, coordinator, repair, retirement, transport } = parts;
    const syncs = new SyncServer(req => answerSync(req, parts), core.clock);
    server.method("agreement.step", agreementMessagesSchema, async ({ sender, messages }) => {
        for (const message of messages) {
            transport.recordAddress(message.from, sender);
            retirement.recordContact(message.from);
            core.driver.receive(message);
        }
        return {};
    });
    server.method(
        "control.join",
        z.object({ identity: z.string(), address: memberAddressSchema }),
        async join => ({ accepted: repair.requestJoin(join) }),
    );
    server.method(
        "control.release-vote",
        z.object({ identity: z.string() }),
        async ({ identity }): Promise<z.infer<typeof releaseAnswerSchema>> => ({
            outcome: await retirement.releaseVote(identity),
        }),
    );
    server.method("fleet.sync", syncRequestSchema, req => syncs.handle(req));
    server.method(
        "fleet.origins",
        originRequestSchema,
        (req): Promise<OriginAnswer> => answerOrigins(req, parts),
    );
    const rosterRequest = z.object({
        tag: z.number(),
        usage: z.boolean(),
        /** What the caller has copied of the origins of a collection. */
        origins: z.object({ collection: z.string(), next: z.number() }).optional(),
    });
    server.method(
        "fleet.roster",
        rosterRequest,
        async ({ tag, usage, origins }): Promise<z.infer<typeof rosterAnswerSchema>> =>
            parts.holdsDuties()
                ? {
                    leading: true,
                    roster: coordinator.rosterIfChanged(tag),
                    usage: usage ? coordinator.usageWindows.recentCounts() : {},
                    origins: origins && copyOrigins(origins, parts),
                }
                : { leading: false, usage: {} },
    );
    const promptParts = (lifted?: boolean): z.infer<typeof promptPartsAnswerSchema> => ({
        leading: parts.holdsDuties(),
        leader: parts.holdsDuties() ? undefined : leaderAddress(core.driver),
        blocked: [...core.state.blockedParts],
        lifted,
    });
    server.method("prompt-parts.list", z.object({}), async () => promptParts());
    server.method(
        "prompt-parts.lift",
        z.object({ part: z.string() }),
        async ({ part }) => promptParts(parts.holdsDuties() ? await parts.verdicts.lift(part) : undefined),
    );
    server.method("catalog.submit", z.object({ text: z.string() }), ({ text }) => core.submitCatalog(text));
    server.method("catalog.read", z.object({}), async (): Promise<z.infer<typeof readAnswerSchema>> => {
        try {
            return { confirmed: true, text: (await core.readCatalog())?.text };
        }
        catch (err) {
            core.log.debug("catalog.read-unconfirmed", { reason: errorMessage(err) });
            return { confirmed: false };
        }
    });
    return syncs;
}
