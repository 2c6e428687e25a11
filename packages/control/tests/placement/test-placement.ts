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

export const domains = ["a", "b", "c"];

/** A committed state without agreement, a cloud API and one engine behind all endpoints; time moves by `advance`. */
export class TestPlacement {
    readonly clock = new ManualClock(1_000_000);
    readonly log = new MemoryEventLog();
    readonly store = new ConfigurationStore();
    readonly random = new SeededRandom(7);
    beforeCommand: (command: UntimedCommand) => Promise<void> = async () => undefined;
    cloud!: Address;
    engine!: Address;
    private readonly started: (HttpStandIn | PlacementDuty)[] = [];
    private index = 0;

    async start(cloudOptions: object = {}): Promise<void> {
        const cloud = new CloudApi({ startMs: 0, seed: 3, ...cloudOptions }, { clock: this.clock });
        const engine = new ModelEngine({ models: ["other"] }, { clock: this.clock });
        this.started.push(cloud, engine);
        this.cloud = await cloud.start();
        this.engine = await engine.start();
    }

    async close(): Promise<void> {
        await Promise.all(this.started.splice(0).map(part => part.close()));
    }

    keep(standIn: HttpStandIn): void {
        this.started.push(standIn);
    }

    advance(ms: number): void {
        this.clock.advanceTo(this.clock.now() + ms);
    }

    async propose(command: UntimedCommand): Promise<CommandResult> {
        await this.beforeCommand(command);
        return this.store.apply({ ...command, time: { epoch: 1, at: this.clock.now() } }, ++this.index);
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
        this.started.push(duty);
        return duty;
    }

    /** Commits a configuration with one engine endpoint for each given instance, or one outside the cloud's list. */
    async configure(instances: readonly CloudInstance[], more: Partial<ConfigurationInput> = {}): Promise<void> {
        const listed = instances.length > 0 ? instances : [{ id: "first", failureDomain: "a" }];
        await this.propose({
            type: "propose",
            operationId: `configure-${this.store.version}`,
            baseVersion: this.store.version,
            configuration: configurationSchema.parse({
                region: "r",
                costWeight: 1,
                failureDomains: domains.map(id => ({ id, region: "r" })),
                endpoints: listed.map(({ id, failureDomain }) => ({
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

    async rounds(duty: PlacementDuty, count: number): Promise<void> {
        for (let i = 0; i < count; i++) {
            await duty.runRound();
            this.advance(1_000);
        }
    }

    async post(path: string, body: unknown): Promise<unknown> {
        return (await requestJson(this.cloud, "POST", path, body)).body;
    }

    async startInstance(failureDomain: string): Promise<CloudInstance> {
        const body = { operationId: `by-hand-${failureDomain}-${this.index++}`, failureDomain };
        return await this.post("/v1/instances", {
            ...body,
            machineClass: "accelerator",
            market: "reclaimable",
        }) as CloudInstance;
    }

    async listed(): Promise<CloudInstance[]> {
        const { body } = await requestJson(this.cloud, "GET", "/v1/instances");
        return (body as { instances: CloudInstance[]; }).instances;
    }

    /** Names of the cells of all listed instances that are not leaving, sorted. */
    async cells(): Promise<string[]> {
        return (await this.listed()).filter(({ state }) => state !== "leaving")
            .map(({ failureDomain, market }) => `${failureDomain} ${market}`).sort();
    }

    lifecycles(): Record<string, string> {
        return Object.fromEntries(this.store.configuration.endpoints.map(({ id, lifecycle }) => [id, lifecycle]));
    }
}
