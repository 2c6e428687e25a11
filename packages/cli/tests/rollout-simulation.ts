import { VersionSplit } from "@lentilramp/ingress";
import { rolloutDefaults, type RolloutOptions } from "@lentilramp/rollouts";
import { type ManualClock, MemoryEventLog, MemoryMetrics, SeededRandom } from "@lentilramp/runtime";
import { FleetCoordinator, RolloutDirector, type StewardCore, StewardState } from "@lentilramp/steward";
import { rolloutEndpoint, rolloutSync } from "../../steward/tests/rollout-sync.ts";

/** One steward on a manual clock, with the roll-outs as its replicated state has them. */
export class SimulatedSteward {
    readonly state = new StewardState(() => undefined, () => undefined);
    coordinator!: FleetCoordinator;
    director!: RolloutDirector;
    private index = 0;
    private term = 0;

    constructor(
        private readonly clock: ManualClock,
        readonly leads: boolean,
        private readonly options: RolloutOptions = rolloutDefaults,
    ) {
        this.beginTerm();
    }

    /** Forgets all but the replicated state, as another steward does that leads next. */
    beginTerm(): void {
        const { clock, leads } = this;
        this.state.onRole(leads ? "leader" : "follower", ++this.term);
        this.coordinator = new FleetCoordinator(clock, 5_000);
        const log = new MemoryEventLog();
        const core = {
            state: this.state,
            clock,
            log,
            driver: { confirmRead: () => Promise.resolve() },
            propose: (command: object) => Promise.resolve(this.apply(command)),
        } as unknown as StewardCore;
        this.director = new RolloutDirector(core, this.coordinator, this.options, () => leads, clock, log);
    }

    apply(command: object): unknown {
        return this.state.apply(JSON.stringify(command), ++this.index);
    }
}

/** An ingress that syncs with one steward. */
export class SimulatedIngress {
    runs = 1;
    /** Whether the follower is in contact with the leader. */
    isFollowerCurrent = true;
    /** Whether a steward has answered since the last start; the process serves nothing before. */
    hasHeard = false;
    private split: VersionSplit;

    constructor(readonly name: string, private readonly clock: ManualClock) {
        this.split = this.createSplit();
    }

    private createSplit(): VersionSplit {
        return new VersionSplit(this.clock, new SeededRandom(this.runs), new MemoryMetrics());
    }

    /** Forgets everything, as the process does when it ends and is started again. */
    restart(): void {
        this.runs++;
        this.hasHeard = false;
        this.split = this.createSplit();
    }

    /** Syncs with a steward; `answer` gets what applies its answer, by default at once. */
    sync(
        { coordinator, director, leads }: SimulatedSteward,
        answer: (apply: () => void) => void = apply => apply(),
    ): void {
        const now = this.clock.now();
        const reports = this.split.reports();
        if (leads) {
            const lifetime = `${this.name}-${this.runs}`;
            coordinator.sync(rolloutSync(this.name, now, { lifetime, rolloutResults: reports }));
        }
        const rollouts = director.notices(this.split.knownRevision);
        const { split } = this;
        const current = leads || this.isFollowerCurrent;
        const leader = leads || !current ? undefined : { host: "leader", port: 1 };
        answer(() => {
            this.hasHeard ||= split === this.split;
            split.apply({ rollouts, leading: leads, current, leader }, now);
        });
    }

    /** Whether some of many new requests may be sent to an endpoint of a version. */
    maySendTo(version: string): boolean {
        const endpoint = rolloutEndpoint("e", version);
        return Array.from({ length: 50 }, () => this.split.forRequest("app"))
            .some(versions => versions.mayUse(endpoint, undefined) || versions.mayUse(endpoint, version));
    }
}
