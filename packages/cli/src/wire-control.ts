import {
    AgreementDriver,
    AgreementStorage,
    ClaimGenerationUpdater,
    ClaimService,
    CommandProposer,
    ControlMethods,
    controlStatus,
    GroupFounding,
    InFlightCounter,
    JoinRequester,
    MembershipRepair,
    PlacementDuty,
    ReplicatedConfiguration,
    RpcTransport,
} from "@lentilramp/control";
import { DataFolder, NodeFileAccess } from "@lentilramp/journal";
import type { RpcClient, RpcServer } from "@lentilramp/protocol";
import { Component, LifecycleManager } from "@lentilramp/runtime";
import type { ControlSettings } from "@lentilramp/settings";
import type { ProcessBase } from "./wire.ts";

/**
 * The parts of a control process that need the data folder. They are built when the process starts, because the
 * identity and the group are known only then.
 */
class ControlCore extends Component {
    readonly name = "control-core";
    private readonly inner: LifecycleManager;
    private folder: DataFolder | undefined;

    constructor(
        private readonly settings: ControlSettings,
        private readonly base: ProcessBase,
        private readonly client: RpcClient,
        private readonly server: RpcServer,
    ) {
        super();
        this.inner = new LifecycleManager(base.clock, base.log);
    }

    override async start(): Promise<void> {
        const { settings, base, client, server } = this;
        const { clock, log, random, dump } = base;
        const folder = await DataFolder.open(new NodeFileAccess(), settings.dataFolder);
        this.folder = folder;
        const claims = await ClaimService.open(folder, clock, log);
        claims.attach(server);
        const founding = new GroupFounding(
            folder.identity,
            settings,
            await folder.openMetadata("founding"),
            client,
            clock,
            log,
        );
        const methods = new ControlMethods(server, founding);
        const storage = await AgreementStorage.open(folder, await founding.initialState(), clock, log);
        const replicatedConfiguration = new ReplicatedConfiguration(clock, log);
        const own = { name: settings.name, ...settings.listen, failureDomain: settings.failureDomain };
        const transport = new RpcTransport(own, client, clock);
        const driver = new AgreementDriver(
            folder.identity,
            storage,
            replicatedConfiguration,
            transport,
            clock,
            random,
            log,
        );
        const proposer = new CommandProposer(driver, replicatedConfiguration, clock);
        const names = new Set(settings.members.map(member => member.name));
        const membershipRepair = new MembershipRepair(driver, name => names.has(name), () => true, clock, log);
        const inFlightCounter = new InFlightCounter(client, clock);
        const parts = { driver, replicatedConfiguration, proposer, membershipRepair, transport, inFlightCounter };
        methods.attach(parts);
        dump.add("control", () => controlStatus(parts));
        dump.add("configuration", () => replicatedConfiguration.store.snapshot());
        dump.add("claims", () => claims.status);
        this.inner.register(claims);
        this.inner.register(driver);
        this.inner.register(membershipRepair);
        this.inner.register(
            new JoinRequester(
                driver,
                own,
                () => settings.members,
                client,
                clock,
            ),
        );
        this.inner.register(new ClaimGenerationUpdater(driver, replicatedConfiguration, proposer, clock, log));
        const { cloudUrl, weightStoreUrl } = settings;
        if (cloudUrl !== undefined) {
            const holder = folder.identity;
            this.inner.register(
                new PlacementDuty(
                    { cloudUrl, weightStoreUrl },
                    { holder, replicatedConfiguration, proposer, inFlightCounter, clock, random, log },
                ),
            );
        }
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

/** Wires a control process. */
export function wireControl(settings: ControlSettings, base: ProcessBase): void {
    const { lifecycle, http, client, server } = base;
    server.attach(http);
    lifecycle.register(client);
    lifecycle.register(http);
    lifecycle.register(new ControlCore(settings, base, client, server));
}
