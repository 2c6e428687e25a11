import { type AgreementOptions, foundingState, joiningState, type Message } from "@lentilramp/agreement";
import { type Catalog, CatalogCodec } from "@lentilramp/catalog";
import {
    AgreementDriver,
    agreementMessagesSchema,
    AgreementStorage,
    type AgreementTransport,
    encodeMemberAddress,
    type JoinRequest,
    JoinRequester,
    MembershipRepair,
} from "@lentilramp/control";
import { DataFolder } from "@lentilramp/journal";
import type { RpcClient } from "@lentilramp/protocol";
import { rolloutDefaults, type RolloutOrder, rolloutOrderSchema } from "@lentilramp/rollouts";
import { ManualClock, MemoryEventLog, SeededRandom } from "@lentilramp/runtime";
import {
    FleetCoordinator,
    MemberRetirement,
    OperatorInterface,
    RolloutOrders,
    stewardAddress,
    StewardCore,
    StewardState,
    VoteRelease,
} from "@lentilramp/steward";
import { Ok, type Result } from "ts-results-es";
import { type DiskFaults, FaultyFiles } from "../../journal/tests/faulty-files.ts";

const port = 7_000;
const linkDelayMs = 5;
const stepMs = 5;
const graceMs = 8_000;
const timing = { heartbeatMs: 100, electionTimeoutMinMs: 450, electionTimeoutMaxMs: 900, leaseMs: 0 };

/** Catalogs of the simulation consist of their version number. */
class VersionCodec extends CatalogCodec {
    override decode(text: string): Result<Catalog, string> {
        return Ok({ version: Number(text), routes: [], services: new Map(), workspaces: [] } as unknown as Catalog);
    }
}

/** One steward of a simulated group, without its servers. */
export interface SimulatedSteward {
    readonly host: string;
    readonly driver: AgreementDriver;
    readonly state: StewardState;
    readonly log: MemoryEventLog;
    readonly operators: OperatorInterface;
    /** Performs the planned stop of the process; takes until the clock has reached the end of its waits. */
    readonly stopAsPlanned: () => Promise<void>;
    readonly stop: () => Promise<void>;
}

/** Stewards on a manual clock, with the parts that decide on the membership and a network that can be cut. */
export class StewardGroup {
    readonly clock = new ManualClock(1_000);
    readonly stewards: SimulatedSteward[] = [];
    /** Hosts that are cut off from all others. */
    readonly cutOff = new Set<string>();
    private readonly inboxes = new Map<string, (sender: string, message: Message) => void>();
    private readonly joins = new Map<string, MembershipRepair>();
    private readonly cores = new Map<string, StewardCore>();
    private readonly rolloutOrders = new Map<string, RolloutOrders>();
    private readonly retirements = new Map<string, MemberRetirement>();
    private readonly files = new Map<string, FaultyFiles>();
    /** Additional delay of the messages to and from a host, in milliseconds. */
    readonly extraDelayMs = new Map<string, number>();
    /** Duration of a sync on each disk, in milliseconds. */
    syncMs = 0;
    /** Number of disks that each host has lost. */
    private readonly lostDisks = new Map<string, number>();
    private setup: { hosts: readonly string[]; founders: readonly string[]; toleratedLosses: number; } = {
        hosts: [],
        founders: [],
        toleratedLosses: 1,
    };

    constructor(
        private readonly options: Partial<AgreementOptions> = timing,
        /** Characters that a link carries in a millisecond. */
        private readonly linkCharsPerMs = Infinity,
    ) {}

    /** Starts `founders` stewards that found the group, and `joiners` that join it. */
    async start(seed: number, founders: number, joiners: number, toleratedLosses: number): Promise<void> {
        const hosts = Array.from({ length: founders + joiners }, (...[, i]) => `10.0.0.${i + 1}`);
        this.setup = { hosts, founders: hosts.slice(0, founders), toleratedLosses };
        for (const [i, host] of hosts.entries()) {
            await this.add(host, seed * 100 + i);
        }
    }

    /** Stops a steward and starts it again with its disk. */
    async restart(steward: SimulatedSteward, seed = 1): Promise<SimulatedSteward> {
        this.stewards.splice(this.stewards.indexOf(steward), 1);
        await steward.stop();
        return await this.add(steward.host, seed);
    }

    /** The faults of the disk of a steward. */
    disk(host: string): DiskFaults {
        return (this.files.get(host) as FaultyFiles).faults;
    }

    /** Ends the process of a steward; `keep` says which of the unsynced data its disk retains. */
    kill(steward: SimulatedSteward, keep: () => boolean): void {
        const { host } = steward;
        this.stewards.splice(this.stewards.indexOf(steward), 1);
        this.inboxes.delete(host);
        this.joins.delete(host);
        this.cores.delete(host);
        this.retirements.delete(host);
        const files = this.files.get(host) as FaultyFiles;
        const retained = files.crash(keep);
        Object.assign(retained.faults, files.faults);
        this.files.set(host, retained);
        void steward.stop().catch(() => undefined);
    }

    /** Lets a steward end as a SIGTERM does. */
    async stopAsPlanned(steward: SimulatedSteward): Promise<void> {
        let stopped = false;
        const stopping = steward.stopAsPlanned().then(() => stopped = true);
        while (!stopped) {
            await this.run(stepMs);
        }
        await stopping;
        this.kill(steward, () => true);
    }

    /** Starts a steward at an address that no steward has had. */
    async addSuccessor(seed: number): Promise<SimulatedSteward> {
        const host = `10.0.0.${this.setup.hosts.length + 1}`;
        this.setup = { ...this.setup, hosts: [...this.setup.hosts, host] };
        return await this.add(host, seed);
    }

    /** Removes the disk of a steward whose process has ended. */
    loseDisk(host: string): void {
        this.files.delete(host);
        this.lostDisks.set(host, (this.lostDisks.get(host) ?? 0) + 1);
    }

    /** Starts the process of a steward that has ended. Rejects if its disk does not let it start. */
    async startAgain(host: string, seed: number): Promise<SimulatedSteward> {
        return await this.add(host, seed);
    }

    /** Lets `ms` milliseconds pass. */
    async run(ms: number): Promise<void> {
        const end = this.clock.now() + ms;
        while (this.clock.now() < end) {
            this.clock.advanceTo(this.clock.now() + stepMs);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    get leader(): SimulatedSteward | undefined {
        return this.stewards.find(({ host, state }) => state.isLeader && !this.cutOff.has(host));
    }

    /** Number of voters as the leader knows them. */
    get voters(): number {
        return this.leader?.driver.status.membership.members.filter(({ voter }) => voter).length ?? 0;
    }

    /** Stores a catalog through the leader and waits until it is committed. */
    async storeCatalog(version: number, text = `catalog ${version}`): Promise<void> {
        const { leader } = this;
        if (leader === undefined) {
            throw new Error("no steward leads");
        }
        const stored = leader.driver.propose(JSON.stringify({ type: "catalog", version, text }));
        await this.run(100 + 2 * text.length / this.linkCharsPerMs);
        await stored;
    }

    /** Returns a client with the calls that the parts of the simulation make. */
    private clientOf(host: string): RpcClient {
        const call = async (
            peer: { host: string; },
            ...[method, params, , deadline]: [string, unknown, unknown, number]
        ): Promise<unknown> => {
            if (!this.connected(host, peer.host)) {
                return undefined;
            }
            if (method === "control.release-vote") {
                const { identity } = params as { identity: string; };
                return { outcome: await this.retirements.get(peer.host)?.releaseVote(identity) ?? "retry" };
            }
            if (method === "control.join") {
                return this.joins.get(peer.host)?.requestJoin(params as JoinRequest);
            }
            return await new Promise<unknown>((resolve, reject) => {
                const { clock } = this;
                clock.schedule(deadline, () => reject(new Error("timeout")));
                clock.schedule(clock.now() + linkDelayMs, () => {
                    const core = this.cores.get(peer.host);
                    const orders = this.rolloutOrders.get(peer.host);
                    const answer: Promise<unknown> | undefined = method === "rollouts.order"
                        ? orders?.submit(rolloutOrderSchema.parse(params as RolloutOrder))
                        : method === "rollouts.read"
                        ? orders?.read((params as { service: string; }).service).then(status => ({
                            confirmed: true,
                            status,
                        }))
                        : method === "catalog.read"
                        ? core?.readCatalog().then(catalog => ({ confirmed: true, text: catalog?.text }))
                        : core?.submitCatalog((params as { text: string; }).text);
                    answer?.then(resolve, reject);
                });
            });
        };
        return { call } as unknown as RpcClient;
    }

    private connected(from: string, to: string): boolean {
        return from === to || !this.cutOff.has(from) && !this.cutOff.has(to);
    }

    private async add(host: string, seed: number): Promise<SimulatedSteward> {
        const { toleratedLosses } = this.setup;
        const lostDisks = this.lostDisks.get(host) ?? 0;
        const founders = this.setup.founders.includes(host) && lostDisks === 0 ? this.setup.founders : [];
        const { clock } = this;
        const own = stewardAddress(host, port);
        const id = founders.length > 0 ? `founder@${host}` : `folder-${host}-${lostDisks}`;
        const members = founders.map(name => ({
            id: `founder@${name}`,
            address: encodeMemberAddress(stewardAddress(name, port)),
        }));
        const files = this.files.get(host) ?? new FaultyFiles();
        files.faults.beforeSync = async () => {
            if (this.syncMs > 0) {
                await clock.sleepUntil(clock.now() + this.syncMs);
            }
        };
        this.files.set(host, files);
        const folder = await DataFolder.open(files, "/data", "single-process");
        const initial = founders.length > 0 ? foundingState(members) : joiningState();
        const log = new MemoryEventLog();
        // A start on a full disk fails here, before any other part exists.
        const storage = await AgreementStorage.open(folder, initial, clock, log);
        const state = new StewardState(() => undefined, () => undefined);
        const addresses = new Map<string, string>();
        const transport: AgreementTransport = {
            send: (message, membership) => {
                const member = membership.members.find(other => other.id === message.to);
                const to = member === undefined
                    ? addresses.get(message.to)
                    : (JSON.parse(member.address) as { host: string; }).host;
                if (to !== undefined) {
                    const transferMs = this.linkCharsPerMs === Infinity
                        ? 0
                        : JSON.stringify(message).length / this.linkCharsPerMs;
                    const extraMs = (this.extraDelayMs.get(host) ?? 0) + (this.extraDelayMs.get(to) ?? 0);
                    clock.schedule(clock.now() + linkDelayMs + extraMs + transferMs, () => {
                        if (this.connected(host, to)) {
                            this.inboxes.get(to)?.(host, message);
                        }
                    });
                }
            },
        };
        const driver = new AgreementDriver(
            id,
            storage,
            state,
            transport,
            clock,
            new SeededRandom(seed),
            log,
            this.options,
        );
        const retirement = new MemberRetirement(driver, 2 * toleratedLosses + 1, clock, log);
        const repair = new MembershipRepair(driver, () => true, id => retirement.mayVote(id), clock, log);
        this.retirements.set(host, retirement);
        this.inboxes.set(host, (sender, message) => {
            addresses.set(message.from, sender);
            retirement.recordContact(message.from);
            // Messages travel as texts, as they do between processes.
            const parameters: unknown = JSON.parse(JSON.stringify({ sender: own, messages: [message] }));
            agreementMessagesSchema.parse(parameters).messages.forEach(received => driver.receive(received));
        });
        this.joins.set(host, repair);
        const core = new StewardCore(driver, state, new VersionCodec(), clock, log);
        this.cores.set(host, core);
        const client = this.clientOf(host);
        const coordinator = new FleetCoordinator(clock, 5_000);
        const services = { services: new Map([["app", {}]]) } as unknown as Catalog;
        const orders = new RolloutOrders(core, coordinator, () => services, rolloutDefaults);
        this.rolloutOrders.set(host, orders);
        const operators = new OperatorInterface(core, coordinator, client, orders);
        const joining = new JoinRequester(
            driver,
            own,
            () => this.setup.hosts.map(peer => stewardAddress(peer, port)),
            client,
            clock,
        );
        for (const part of [driver, repair, retirement, joining]) {
            await part.start();
        }
        const steward = {
            host,
            driver,
            state,
            log,
            operators,
            stopAsPlanned: async () => {
                await new VoteRelease(driver, retirement, client, clock, log).drain(clock.now() + graceMs);
                await driver.drain();
            },
            stop: async () => {
                await Promise.all([driver, repair, retirement, joining].map(part => part.close()));
            },
        };
        this.stewards.push(steward);
        return steward;
    }
}
