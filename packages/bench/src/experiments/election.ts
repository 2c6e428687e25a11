import {
    AgreementNode,
    applyWrite,
    type Effect,
    foundingState,
    type Input,
    type StoredState,
} from "@lentilramp/agreement";
import { ManualClock, SeededRandom, type Timer } from "@lentilramp/runtime";
import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../experiment.ts";

const delaysMs = [4, 5];
const losses = [0, 0.01, 0.02, 0.03, 0.05];
const trials = 300;
const syncMs = 2;
const quietMs = 600_000;
const members = ["a", "b", "c"].map(id => ({ id, address: id }));

interface Network {
    readonly clock: ManualClock;
    readonly random: SeededRandom;
    readonly delayMs: number;
    readonly loss: number;
}

/** One voter with its disk; a message takes the link delay plus up to a tenth, or is lost. */
class Voter {
    node: AgreementNode | undefined;
    /** The instant from which the voter could serve: it leads and holds the lease. */
    servingSince: number | undefined;
    private stored: StoredState = foundingState(members);
    private timer: Timer | undefined;

    constructor(readonly id: string, private readonly group: Group, private readonly network: Network) {
        this.start();
    }

    start(): void {
        const { clock, random } = this.network;
        this.node = new AgreementNode({
            id: this.id,
            stored: this.stored,
            random: () => random.next(),
            now: clock.now(),
        });
        this.perform(this.node.start());
    }

    crash(): void {
        this.node = undefined;
        this.servingSince = undefined;
        this.timer?.cancel();
    }

    step(input: Input): void {
        if (this.node !== undefined) {
            this.perform(this.node.step(input, this.network.clock.now()));
        }
    }

    private perform(effects: readonly Effect[]): void {
        effects.forEach(effect => this.performOne(effect));
        this.timer?.cancel();
        const { clock } = this.network;
        this.timer = clock.schedule(Math.max(clock.now(), this.node?.nextTickAt ?? Infinity), () => {
            this.step({ type: "tick" });
        });
    }

    private performOne(effect: Effect): void {
        const { clock, random, delayMs, loss } = this.network;
        const { node } = this;
        switch (effect.type) {
            case "save-state":
            case "append":
            case "save-snapshot":
                this.stored = applyWrite(this.stored, effect);
                return;
            case "sync":
                clock.schedule(clock.now() + syncMs, () => {
                    if (this.node === node) {
                        this.step({ type: "synced", sequence: effect.sequence });
                    }
                });
                return;
            case "send":
                if (random.next() >= loss) {
                    clock.schedule(clock.now() + delayMs * (1 + random.next() / 10), () => {
                        this.group.voter(effect.message.to).step({ type: "message", message: effect.message });
                    });
                }
                return;
            case "lease":
                this.servingSince = effect.until === undefined ? undefined : this.servingSince ?? clock.now();
                return;
            default:
                return;
        }
    }
}

class Group {
    readonly voters: Voter[];

    constructor(readonly network: Network) {
        this.voters = [];
        members.forEach(({ id }) => this.voters.push(new Voter(id, this, network)));
    }

    voter(id: string): Voter {
        return this.voters.find(voter => voter.id === id) as Voter;
    }

    serving(): Voter | undefined {
        return this.voters.find(voter => voter.servingSince !== undefined);
    }

    /** Advances to the instant at which a voter serves, at most for a minute, and returns that voter. */
    waitForLeader(): Voter {
        const { clock } = this.network;
        const end = clock.now() + 60_000;
        while (this.serving() === undefined && clock.now() < end) {
            clock.advanceTo(clock.now() + 1);
        }
        const leader = this.serving();
        if (leader === undefined) {
            throw new Error("no leader for 60,000 ms");
        }
        return leader;
    }
}

type Stop = (leader: Voter) => void;

/** Stops the leader again and again; returns the times in milliseconds until another voter serves. */
function measureStops(network: Network, stop: Stop): number[] {
    const group = new Group(network);
    const { clock, random } = network;
    const times: number[] = [];
    for (let i = 0; i < trials; i++) {
        const leader = group.waitForLeader();
        clock.advanceTo(clock.now() + 1_000 + random.next() * 200);
        const current = group.serving() ?? leader;
        const begin = clock.now();
        stop(current);
        const next = group.waitForLeader();
        times.push((next.servingSince ?? clock.now()) - begin);
        clock.advanceTo(clock.now() + 500);
        if (current.node === undefined) {
            current.start();
        }
    }
    return times.sort((a, b) => a - b);
}

/** Without any stop: how long no voter serves because of lost messages alone. */
function measureQuiet(network: Network): { withoutLeaderMs: number; interruptions: number; } {
    const group = new Group(network);
    group.waitForLeader();
    const { clock } = network;
    const end = clock.now() + quietMs;
    let withoutLeaderMs = 0;
    let interruptions = 0;
    let served = true;
    while (clock.now() < end) {
        clock.advanceTo(clock.now() + 1);
        const serves = group.serving() !== undefined;
        withoutLeaderMs += serves ? 0 : 1;
        interruptions += served && !serves ? 1 : 0;
        served = serves;
    }
    return { withoutLeaderMs, interruptions };
}

function percentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Time during which no voter leads with a lease, after a crash, in a hand-over and under loss alone. */
export class ElectionExperiment extends Experiment {
    override readonly name = "election";
    override readonly description = "time without a leader after a crash, in a hand-over, and under loss alone";
    override readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const points: SeriesPoint[] = [];
        const crashTimes: number[][] = [];
        const handOverTimes: number[][] = [];
        for (const delayMs of delaysMs) {
            for (const loss of losses) {
                const network = () => ({ clock: new ManualClock(), random: new SeededRandom(seed), delayMs, loss });
                const setting = { delayMs, lossPercent: loss * 100 };
                const add = (variant: string, times: number[]) => {
                    points.push({
                        variant,
                        setting,
                        figures: {
                            p50Ms: percentile(times, 0.5),
                            p95Ms: percentile(times, 0.95),
                            p99Ms: percentile(times, 0.99),
                            maxMs: percentile(times, 1),
                        },
                    });
                };
                const crashed = measureStops(network(), leader => leader.crash());
                const handedOver = measureStops(network(), leader => leader.step({ type: "hand-over" }));
                add("crash", crashed);
                add("hand-over", handedOver);
                crashTimes.push(crashed);
                handOverTimes.push(handedOver);
                points.push({ variant: "no stop", setting, figures: measureQuiet(network()) });
            }
        }
        const worst = (times: number[][], share: number) => Math.max(...times.map(list => percentile(list, share)));
        return {
            experiment: this.name,
            seed,
            settings: { voters: members.length, trials, syncMs, quietMs },
            points,
            targets: [
                atMost(
                    "time without a leader after a crash, p95 of the worst setting",
                    1_000,
                    worst(crashTimes, 0.95),
                    "ms",
                ),
                // A permit of 2,500 ms less a subscription wait of 500 ms and a lost answer of 700 ms.
                atMost("time without a leader after a crash, maximum", 1_300, worst(crashTimes, 1), "ms"),
                atMost(
                    "time without a leader in a hand-over, p50 of the worst setting",
                    100,
                    worst(handOverTimes, 0.5),
                    "ms",
                ),
            ],
        };
    }
}
