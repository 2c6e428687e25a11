import {
    type Candidate,
    Dispatcher,
    DispatchQueue,
    type DispatchRequest,
    EndpointHealth,
    type InFlightRequest,
    type LatencyModel,
    LoadTracker,
    PrefixCacheIndex,
    RendezvousAffinity,
} from "@lentilramp/dispatch";
import type { RandomSource } from "@lentilramp/runtime";
import { FakeEngine } from "../../fakes/engine.ts";
import type { EventQueue } from "../../fakes/event-queue.ts";
import type { PromptArrival } from "./prompt-load.ts";

/** The engines of the users' sheets: step times, prompt rate and chunk. */
export const engineOptions = {
    stepBaseMs: 3.55,
    promptTokenMs: 1 / 157,
    sequenceMs: 0.0462,
    tokenBudget: 2_048,
    blockTokens: 64,
    cacheBlocks: 10_000,
};
const linkMs = 5;
/** Time from the end of the prompt to the first event, from the sheets. */
const firstEventMs = 26;
/** Part of the time that a caller has left which it is ready to wait before it comes back. */
const waitPart = 1 / 3;

/** What is compared. */
export interface FleetPolicy {
    /** Makes the prediction of one ingress. */
    model: (memory: PrefixCacheIndex, home: RendezvousAffinity) => LatencyModel;
    /** Time between two reports of an ingress's load to the others. */
    reportMs: number;
    /** Time until the others know a report, in milliseconds. */
    reportDelayMs: number;
}

export interface FleetModelOptions {
    ingresses: number;
    engines: number;
    slots: number;
    policy: FleetPolicy;
    /** Engines lost at an instant. */
    losses: readonly { at: number; engines: number; }[];
    /** Share of callers that come back at once and more often. */
    abusers: number;
}

/** How one request ended for its caller. */
export interface PromptOutcome {
    arrival: PromptArrival;
    kind: "on-time" | "late" | "refused" | "failed";
    tries: number;
}

class ModelIngress {
    readonly board = new LoadTracker();
    readonly memory = new PrefixCacheIndex();
    readonly queue: DispatchQueue<Candidate>;
    readonly dispatcher: Dispatcher;
    readonly model: LatencyModel;

    constructor(
        clock: EventQueue,
        random: RandomSource,
        candidates: () => readonly Candidate[],
        make: FleetPolicy["model"],
    ) {
        this.queue = new DispatchQueue(clock);
        this.dispatcher = new Dispatcher(this.board, new EndpointHealth(), random);
        this.model = make(this.memory, new RendezvousAffinity(candidates));
    }
}

/** Ingresses that dispatch by the product's own modules to fake engines, and callers that come back when refused. */
export class IngressFleet {
    readonly outcomes: PromptOutcome[] = [];
    private readonly engines = new Map<string, FakeEngine>();
    private candidates: Candidate[] = [];
    private readonly ingresses: ModelIngress[];
    private readonly lost = new Map<string, Set<() => void>>();

    constructor(
        private readonly clock: EventQueue,
        private readonly random: RandomSource,
        private readonly options: FleetModelOptions,
    ) {
        const { slots } = options;
        for (let i = 0; i < options.engines; i++) {
            const id = `engine-${i}`;
            this.engines.set(id, new FakeEngine(clock, { ...engineOptions, maxSequences: slots }));
            this.candidates.push({ id, failureDomain: "abc"[i % 3] ?? "a", slots });
            this.lost.set(id, new Set());
        }
        const candidates = () => this.candidates;
        this.ingresses = Array.from(
            { length: options.ingresses },
            () => new ModelIngress(clock, random, candidates, options.policy.model),
        );
        this.ingresses.forEach((ingress, i) => this.report(ingress, i * options.policy.reportMs / options.ingresses));
        for (const { at, engines } of options.losses) {
            clock.schedule(at, () => this.lose(engines));
        }
    }

    submit(arrival: PromptArrival): void {
        const abuser = this.random.next() < this.options.abusers;
        this.clock.schedule(arrival.at, () => this.attempt(arrival, 1, abuser));
    }

    /** Each ingress tells the others its load again and again. */
    private report(ingress: ModelIngress, at: number): void {
        this.clock.schedule(at, () => {
            const { reportMs, reportDelayMs } = this.options.policy;
            const load = [...ingress.board.localLoad()];
            const name = String(this.ingresses.indexOf(ingress));
            for (const other of this.ingresses.filter(candidate => candidate !== ingress)) {
                this.clock.schedule(at + reportDelayMs, () => other.board.applyPeerLoad(name, load, true));
            }
            this.report(ingress, at + reportMs);
        });
    }

    private lose(count: number): void {
        const gone = this.candidates.slice(0, count);
        this.candidates = this.candidates.slice(count);
        for (const { id } of gone) {
            for (const fail of [...this.lost.get(id) ?? []]) {
                fail();
            }
        }
    }

    private attempt(arrival: PromptArrival, tries: number, abuser: boolean): void {
        const { kind } = arrival;
        const now = this.clock.now();
        const ingress = this.ingresses[this.random.nextInt(this.ingresses.length)] as ModelIngress;
        const req: DispatchRequest = {
            id: "",
            service: "model",
            workspace: String(arrival.workspace),
            rank: kind.rank,
            arrivedAt: now,
            targetAt: now + kind.targetMs,
            deadline: arrival.at + kind.patienceMs,
            work: {
                parts: arrival.parts,
                promptTokens: arrival.promptTokens,
                maxOutputTokens: arrival.outputTokens * 4,
                outputTokens: arrival.hintTokens,
            },
        };
        const decide = (ahead: number) =>
            ingress.dispatcher.decide(req, this.candidates, ingress.model, this.clock.now(), new Set(), ahead);
        ingress.queue.submit(req, decide, outcome => {
            if (outcome.kind === "send") {
                const { endpoint, prediction } = outcome.choice;
                ingress.memory.record(endpoint.id, arrival.parts, 600_000, this.clock.now());
                const booking = ingress.board.trackRequest(endpoint.id, prediction, this.clock.now());
                this.run(arrival, ingress, endpoint.id, booking, tries);
            }
            else if (outcome.kind === "refuse") {
                this.refused(arrival, tries, abuser, outcome.retryAfterMs);
            }
        });
    }

    private refused(arrival: PromptArrival, tries: number, abuser: boolean, retryAfterMs: number): void {
        const left = arrival.at + arrival.kind.patienceMs - this.clock.now();
        if (tries > (abuser ? 3 : 1) || left <= 0) {
            this.outcomes.push({ arrival, kind: "refused", tries });
            return;
        }
        const wait = abuser ? 5 : Math.min(retryAfterMs, left * waitPart);
        this.clock.schedule(this.clock.now() + wait, () => this.attempt(arrival, tries + 1, abuser));
    }

    private run(
        arrival: PromptArrival,
        ingress: ModelIngress,
        id: string,
        booking: InFlightRequest,
        tries: number,
    ): void {
        const { clock } = this;
        let firstAt: number | undefined;
        let cancel = (): void => undefined;
        const finish = (failed: boolean): void => {
            this.lost.get(id)?.delete(fail);
            booking.recordEnd();
            ingress.queue.reevaluate();
            const onTime = firstAt !== undefined && firstAt - arrival.at <= arrival.kind.targetMs;
            this.outcomes.push({ arrival, kind: failed ? "failed" : onTime ? "on-time" : "late", tries });
        };
        const fail = (): void => {
            cancel();
            finish(true);
        };
        this.lost.get(id)?.add(fail);
        clock.schedule(clock.now() + linkMs, () => {
            cancel = this.engines.get(id)?.submit({
                promptTokens: arrival.promptTokens,
                prefix: blocks(arrival),
                outputTokens: arrival.outputTokens,
                priority: "normal",
                onToken: offset => {
                    if (offset === 0) {
                        clock.schedule(clock.now() + linkMs + firstEventMs, () => {
                            firstAt = clock.now();
                            booking.recordFirstByte(firstAt);
                            ingress.queue.reevaluate();
                        });
                    }
                },
                onEnd: () => clock.schedule(clock.now() + linkMs + firstEventMs, () => finish(false)),
            }) ?? cancel;
        });
    }
}

/** Keys of the blocks of the shared parts; the own part of a request is never read twice. */
function blocks({ parts }: PromptArrival): number[] {
    return parts.slice(0, -1).flatMap(({ id, tokens }) => {
        const count = Math.floor(tokens / engineOptions.blockTokens);
        return [...Array(count).keys()].map(i => hash(`${id}/${i}`));
    });
}

const hashes = new Map<string, number>();

function hash(text: string): number {
    let value = hashes.get(text);
    if (value === undefined) {
        value = hashes.size;
        hashes.set(text, value);
    }
    return value;
}
