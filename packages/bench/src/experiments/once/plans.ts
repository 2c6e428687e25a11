import type { ClaimRules } from "@lentilramp/claims";
import { CLOCK_TOLERANCE_MS } from "@lentilramp/claims";
import type { RandomSource } from "@lentilramp/runtime";
import { SeededRandom } from "@lentilramp/runtime";
import type { Direction } from "./network.ts";
import { Network, RandomNetwork, SteadyNetwork } from "./network.ts";
import type { ReplicaFault } from "./simulated-replica.ts";
import type { Copy, Fault, RunPlan } from "./world.ts";
import { runPlan } from "./world.ts";

const body = "deposit 40 EUR";
const replicaFaults: readonly ReplicaFault[] = ["restart", "restart-keeping-unsynced", "lost-disk"];
const replicaIndices = [0, 1, 2];
/** With a clock that is seconds ahead most deadlines have passed, so clock errors in all runs would hide other faults. */
const clockErrorShare = 0.25;
const lateInspection = { entry: 2, atMs: 4_000 };

function allTargets(entryCount: number): Fault["target"][] {
    return [
        ...[0, 1].slice(0, entryCount).map(entry => ({ entry })),
        ...replicaIndices.flatMap(replica => replicaFaults.map(fault => ({ replica, fault }))),
    ];
}

/**
 * One fault at each point between two events of one call and of two copies. The delays of replicas and entries are
 * drawn `variants` times, so that the events have several orders.
 */
export async function* crashPlans(seed: number, variants: number, rules?: ClaimRules): AsyncIterable<RunPlan> {
    const random = new SeededRandom(seed);
    const first: Copy = { entry: 0, atMs: 0, body };
    for (let variant = 0; variant < variants; variant++) {
        const delays = Array.from({ length: 9 }, () => 0.5 + random.next() * 6);
        const network = new SteadyNetwork((entry, replica) =>
            delays[(entry === "entry-a" ? 0 : 3) + replica + (entry === "entry-c" ? 3 : 0)] as number
        );
        const second: Copy = { entry: 1, atMs: random.next() * 30, body };
        for (const copies of [[first], [first, second]]) {
            const plan = { network, copies, inspections: [lateInspection], faults: [], rules };
            const { events } = await runPlan(plan);
            for (let afterEvents = 0; afterEvents <= events; afterEvents++) {
                for (const target of allTargets(copies.length)) {
                    yield { ...plan, faults: [{ afterEvents, target }] };
                }
            }
        }
    }
}

function permutations<T>(items: readonly T[]): T[][] {
    return items.length <= 1
        ? [[...items]]
        : items.flatMap((item, i) => permutations(items.toSpliced(i, 1)).map(rest => [item, ...rest]));
}

interface MessageFault {
    kind: "lost" | "late-duplicate";
    direction: Direction;
    message: number;
}

/** Delivers the six claim writes of two entries in a given order; at most one message has a fault. */
class OrderedNetwork extends Network {
    constructor(private readonly order: readonly number[], private readonly fault: MessageFault | undefined) {
        super();
    }

    override delays(direction: Direction, entry: string, replica: number, sequence: number): readonly number[] {
        const message = (entry === "entry-a" ? 0 : 3) + replica;
        const delay = direction === "request" && sequence < 3 ? 1 + this.order.indexOf(message) : 0.6;
        // The first three messages of an entry are its claim writes.
        if (this.fault?.direction !== direction || this.fault.message !== message || sequence >= 3) {
            return [delay];
        }
        return this.fault.kind === "lost" ? [] : [delay, 5_500];
    }
}

/** Each order of the claim writes of two copies, each with each single message fault or replica fault. */
export function* orderPlans(rules?: ClaimRules, otherBody = body): Iterable<RunPlan> {
    const messages = [0, 1, 2, 3, 4, 5];
    const messageFaults: (MessageFault | undefined)[] = [
        undefined,
        ...messages.flatMap(message => [
            { kind: "lost" as const, direction: "request" as const, message },
            { kind: "lost" as const, direction: "reply" as const, message },
            { kind: "late-duplicate" as const, direction: "request" as const, message },
        ]),
    ];
    const copies = [{ entry: 0, atMs: 0, body }, { entry: 1, atMs: 0, body: otherBody }];
    for (const order of permutations(messages)) {
        const base = { copies, inspections: [lateInspection], rules };
        for (const fault of messageFaults) {
            yield { ...base, network: new OrderedNetwork(order, fault), faults: [] };
        }
        for (const replica of replicaIndices) {
            for (const fault of replicaFaults) {
                // About half of the writes have been stored by then.
                const faults = [{ afterEvents: 8, target: { replica, fault } }];
                yield { ...base, network: new OrderedNetwork(order, undefined), faults };
            }
        }
    }
}

function randomFaults(random: RandomSource): Fault[] {
    const targets = allTargets(2);
    return Array.from({ length: random.nextInt(3) }, () => ({
        afterEvents: random.nextInt(60),
        target: targets[random.nextInt(targets.length)] as Fault["target"],
    }));
}

/** Random loss, duplication, delay, faults, refused connections and writes, lost permits, clock errors and times of the copies. */
export function* randomPlans(seed: number, count: number, rules?: ClaimRules): Iterable<RunPlan> {
    for (let i = 0; i < count; i++) {
        const random = new SeededRandom(seed * 1_000_003 + i);
        const networkOptions = { loss: random.next() * 0.4, duplicate: 0.1, slow: random.next() * 0.3, longMs: 8_000 };
        const copyCount = 2 + random.nextInt(2);
        yield {
            network: new RandomNetwork(random, networkOptions),
            copies: [0, 1, 2].slice(0, copyCount).map(entry => ({
                entry,
                atMs: entry === 0 ? 0 : random.next() * (random.next() < 0.5 ? 20 : 4_000),
                body: random.next() < 0.05 ? "deposit 90 EUR" : body,
            })),
            inspections: [{ entry: 1, atMs: random.next() * 5_000 }, lateInspection],
            faults: randomFaults(random),
            refusesConnection: () => random.next() < 0.05,
            mayDispatch: () => random.next() > 0.03,
            refusesWrite: () => random.next() < 0.05,
            clockErrorsMs: random.next() < clockErrorShare
                ? [0, 1, 2].map(() => (2 * random.next() - 1) * CLOCK_TOLERANCE_MS)
                : [],
            rules,
        };
    }
}
