import {
    type CommandResult,
    type ConfigurationInput,
    configurationSchema,
    ConfigurationStore,
} from "@lentilramp/configuration";
import { PlacementDuty, type UntimedCommand } from "@lentilramp/control";
import { ManualClock, MemoryEventLog, SeededRandom } from "@lentilramp/runtime";
import {
    type Address,
    CloudApi,
    type CloudInstance,
    type HttpStandIn,
    ModelEngine,
    requestJson,
} from "@lentilramp/stand-ins";

export const failureDomains = ["a", "b", "c"];

/**
 * Environment for `PlacementDuty`: a configuration store without an agreement group, a cloud API, and one engine that
 * serves all endpoints. The manual clock advances only by `advance`.
 */
export class TestPlacement {
    readonly clock = new ManualClock(1_000_000);
    readonly log = new MemoryEventLog();
    readonly store = new ConfigurationStore();
    readonly random = new SeededRandom(7);
    /** Called before each proposed command. */
    onBeforeCommand: (command: UntimedCommand) => Promise<void> = async () => undefined;
    cloud!: Address;
    engine!: Address;
    private readonly components: (HttpStandIn | PlacementDuty)[] = [];
    private commandIndex = 0;

    async start(cloudOptions: object = {}): Promise<void> {
        const cloud = new CloudApi({ startMs: 0, seed: 3, ...cloudOptions }, { clock: this.clock });
        const engine = new ModelEngine({ models: ["other"] }, { clock: this.clock });
        this.components.push(cloud, engine);
        this.cloud = await cloud.start();
        this.engine = await engine.start();
    }

    async close(): Promise<void> {
        await Promise.all(this.components.splice(0).map(part => part.close()));
    }

    /** Closes the stand-in at the end of the test. */
    closeAfterTest(standIn: HttpStandIn): void {
        this.components.push(standIn);
    }

    advance(ms: number): void {
        this.clock.advanceTo(this.clock.now() + ms);
    }

    /** Applies the command to the store as a `CommandProposer` would. */
    async propose(command: UntimedCommand): Promise<CommandResult> {
        await this.onBeforeCommand(command);
        return this.store.apply({ ...command, time: { epoch: 1, at: this.clock.now() } }, ++this.commandIndex);
    }

    duty(holder: string, leads = () => true, weightStore?: Address): PlacementDuty {
        const { store, clock, log, random } = this;
        const replicatedConfiguration = {
            store,
            get readyTerm() {
                return leads() ? 1 : undefined;
            },
        };
        const duty = new PlacementDuty({
            cloudUrl: `http://${this.cloud.host}:${this.cloud.port}`,
            ...(weightStore === undefined ? {} : { weightStoreUrl: `http://${weightStore.host}:${weightStore.port}` }),
        }, {
            holder,
            replicatedConfiguration,
            proposer: this,
            inFlightCounter: { count: async () => 0 },
            clock,
            random,
            log,
        });
        this.components.push(duty);
        return duty;
    }

    /**
     * Commits a configuration with one engine endpoint per instance. Without instances, it has one endpoint that the
     * cloud does not list.
     */
    async configure(instances: readonly CloudInstance[], more: Partial<ConfigurationInput> = {}): Promise<void> {
        const endpointInstances = instances.length > 0 ? instances : [{ id: "first", failureDomain: "a" }];
        await this.propose({
            type: "propose",
            operationId: `configure-${this.store.version}`,
            baseVersion: this.store.version,
            configuration: configurationSchema.parse({
                region: "r",
                costWeight: 1,
                failureDomains: failureDomains.map(id => ({ id, region: "r" })),
                endpoints: endpointInstances.map(({ id, failureDomain }) => ({
                    id,
                    kind: "engine",
                    ...this.engine,
                    failureDomain,
                    machineClass: "accelerator",
                    models: more.models?.map(({ name }) => name) ?? [],
                })),
                ...more,
            }),
        });
    }

    async runRounds(duty: PlacementDuty, count: number): Promise<void> {
        for (let i = 0; i < count; i++) {
            await duty.runRound();
            this.advance(1_000);
        }
    }

    async postToCloud(path: string, body: unknown): Promise<unknown> {
        return (await requestJson(this.cloud, "POST", path, body)).body;
    }

    async startInstance(failureDomain: string): Promise<CloudInstance> {
        const body = { operationId: `by-hand-${failureDomain}-${this.commandIndex++}`, failureDomain };
        return await this.postToCloud("/v1/instances", {
            ...body,
            machineClass: "accelerator",
            market: "reclaimable",
        }) as CloudInstance;
    }

    async listedInstances(): Promise<CloudInstance[]> {
        const { body } = await requestJson(this.cloud, "GET", "/v1/instances");
        return (body as { instances: CloudInstance[]; }).instances;
    }

    /** Returns failure domain and market of each listed instance that is not leaving, sorted. */
    async instanceLabels(): Promise<string[]> {
        return (await this.listedInstances()).filter(({ state }) => state !== "leaving")
            .map(({ failureDomain, market }) => `${failureDomain} ${market}`).sort();
    }

    lifecycles(): Record<string, string> {
        return Object.fromEntries(this.store.configuration.endpoints.map(({ id, lifecycle }) => [id, lifecycle]));
    }
}
