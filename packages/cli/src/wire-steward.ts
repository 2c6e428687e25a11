import type { Catalog } from "@lentilramp/catalog";
import {
    AgreementDriver,
    AgreementStorage,
    decodeMemberAddress,
    JoinRequester,
    MembershipRepair,
    RpcTransport,
} from "@lentilramp/control";
import type { EndpointSource } from "@lentilramp/exchange";
import { DataFolder, NodeFileAccess } from "@lentilramp/journal";
import { attachLookupRoutes, attachOperatorRoutes, attachRolloutRoutes, JsonCatalogCodec } from "@lentilramp/platform";
import { defaultClientLimits, defaultHttpServerOptions, HttpServer, RpcServer } from "@lentilramp/protocol";
import { Component, LifecycleManager } from "@lentilramp/runtime";
import {
    attachRolloutMethods,
    attachRolloutRenewals,
    attachStewardMethods,
    decideFounding,
    type DutyCalls,
    FleetCoordinator,
    MemberRetirement,
    OperatorInterface,
    PlatformDuties,
    RolloutDirector,
    RolloutOrders,
    RosterFollower,
    stewardAddress,
    StewardCore,
    type StewardOptions,
    StewardState,
    SuspectVerdicts,
    VoteRelease,
} from "@lentilramp/steward";
import type { FleetProcess } from "./wire-fleet.ts";

/** Timing of the agreement on instances with a part of a core; an election takes a second at most. */
const agreementTiming = {
    heartbeatMs: 100,
    electionTimeoutMinMs: 450,
    electionTimeoutMaxMs: 900,
    // The steady clock stops while an instance is suspended, so no read rests on a lease.
    leaseMs: 0,
} as const;

/** Parts of the connections of the process; the rest is for the metrics. */
const connectionParts = { inner: 0.5, operators: 0.15, lookups: 0.3 } as const;

export interface StewardAddresses {
    operators: { host: string; port: number; };
    lookups: { host: string; port: number; };
    /** Validity of an address answer, in milliseconds. */
    lookupMs: number;
}

/** The parts of a steward that need the data folder; they are built when the process starts. */
class StewardProcess extends Component {
    readonly name = "steward";
    private readonly inner: LifecycleManager;
    private folder: DataFolder | undefined;

    constructor(
        private readonly options: StewardOptions,
        private readonly addresses: StewardAddresses,
        private readonly source: EndpointSource,
        private readonly calls: DutyCalls,
        private readonly base: FleetProcess,
    ) {
        super();
        this.inner = new LifecycleManager(base.clock, base.log);
    }

    override async start(): Promise<void> {
        const { options, addresses, base } = this;
        const { clock, log, random, client, key } = base;
        const folder = await DataFolder.open(new NodeFileAccess(), options.dataFolder, "single-process");
        this.folder = folder;
        const own = stewardAddress(options.inner.host, options.inner.port);
        const { id, state } = await decideFounding(
            {
                selfAddress: own,
                seedHosts: options.seedHosts(),
                firstStart: options.firstStart,
                folderIdentity: folder.identity,
            },
            await folder.openMetadata("founding"),
            log,
        );
        const storage = await AgreementStorage.open(folder, state, clock, log);
        const codec = new JsonCatalogCodec();
        let decoded: { text: string; catalog: Catalog | undefined; } | undefined;
        // Decoded when it is needed: a steward that starts replays every catalog since its snapshot.
        const catalog = (): Catalog | undefined => {
            const text = replicated.catalog?.text;
            if (text !== decoded?.text) {
                decoded = text === undefined ? undefined : { text, catalog: codec.decode(text).unwrapOr(undefined) };
            }
            return decoded?.catalog;
        };
        const replicated = new StewardState(
            leads => duties.onLeadership(leads),
            version => log.info("catalog.committed", { version }),
            index => log.error("steward.command-unreadable", { index }),
        );
        const transport = new RpcTransport(own, client, clock);
        const driver = new AgreementDriver(id, storage, replicated, transport, clock, random, log, agreementTiming);
        void driver.storageFailed.then(base.fail);
        const core = new StewardCore(driver, replicated, codec, clock, log);
        const coordinator = new FleetCoordinator(clock, options.usageWindowMs, log);
        const duties = new PlatformDuties(
            core,
            coordinator,
            this.source,
            this.calls,
            catalog,
            options,
            clock,
            log,
        );
        const retirement = new MemberRetirement(driver, 2 * options.toleratedLosses + 1, clock, log);
        const repair = new MembershipRepair(driver, () => true, id => retirement.mayVote(id), clock, log);
        const verdicts = new SuspectVerdicts(core, coordinator, () => duties.holdsDuties, clock, log);
        const rollouts = options.rollouts
            && new RolloutDirector(core, coordinator, options.rollouts, () => duties.holdsDuties, clock, log);
        const server = new RpcServer(key, log);
        const syncs = attachStewardMethods(server, {
            core,
            state: replicated,
            coordinator,
            repair,
            retirement,
            transport,
            verdicts,
            rollouts,
            holdsDuties: () => duties.holdsDuties,
        });
        base.gauges.push(() => {
            base.metrics.gauge("leads", replicated.isLeader ? 1 : 0);
            base.metrics.gauge("fence", replicated.dutyAssignment?.fence ?? 0);
            base.metrics.gauge("catalog_version", replicated.catalog?.version ?? -1);
            base.metrics.gauge("members", replicated.ingressCount);
            base.metrics.gauge("blocked_parts", replicated.blockedParts.length);
            base.metrics.gauge("syncs_waiting", syncs.waiting);
            base.metrics.gauge("syncs_dropped", syncs.dropped);
        });
        if (rollouts !== undefined) {
            base.gauges.push(() => base.metrics.gauge("rollouts_running", rollouts.running));
            this.inner.register(rollouts);
            const holdsDuties = (): boolean => duties.holdsDuties;
            attachRolloutRenewals(server, { core, coordinator, rollouts, holdsDuties });
        }
        const rolloutOrders = options.rollouts && new RolloutOrders(core, coordinator, catalog, options.rollouts);
        const operators = new OperatorInterface(core, coordinator, client, rolloutOrders);
        const stewards = () => [
            ...driver.status.membership.members.map(decodeMemberAddress),
            ...options.seedHosts().map(host => stewardAddress(host, options.inner.port)),
        ];
        const http = (
            address: { host: string; port: number; },
            connectionPart: number,
        ): HttpServer => {
            const { unreadAnswerMs } = defaultClientLimits;
            return new HttpServer(
                { ...address, ...defaultHttpServerOptions, connectionPart, unreadAnswerMs },
                log,
                base.guard,
            );
        };
        const inner = http(options.inner, connectionParts.inner);
        const control = http(addresses.operators, connectionParts.operators);
        const lookups = http(addresses.lookups, connectionParts.lookups);
        server.attach(inner);
        attachOperatorRoutes(control, operators);
        if (rolloutOrders !== undefined) {
            attachRolloutMethods(server, rolloutOrders);
            attachRolloutRoutes(control, operators);
        }
        attachLookupRoutes(lookups, operators, addresses.lookupMs);
        for (const part of [inner, control, lookups, driver, repair, retirement]) {
            this.inner.register(part);
        }
        this.inner.register(new JoinRequester(driver, own, stewards, client, clock));
        this.inner.register(new RosterFollower(core, coordinator, client, clock));
        this.inner.register(duties);
        this.inner.register(verdicts);
        // Drained first: the other parts still serve the group while its vote is released.
        this.inner.register(new VoteRelease(driver, retirement, client, clock, log));
        await this.inner.start();
    }

    override async drain(): Promise<void> {
        await this.inner.stop();
    }

    override async close(): Promise<void> {
        await this.inner.stop();
        await this.folder?.close();
    }
}

/** Wires a steward. */
export function wireSteward(
    options: StewardOptions,
    addresses: StewardAddresses,
    source: EndpointSource,
    calls: DutyCalls,
    base: FleetProcess,
): void {
    base.lifecycle.register(base.client);
    base.lifecycle.register(new StewardProcess(options, addresses, source, calls, base));
}
