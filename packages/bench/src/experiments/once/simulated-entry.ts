import type {
    CallState,
    Claim,
    ClaimGeneration,
    ClaimMessage,
    ClaimReplicaAddress,
    ClaimReply,
    ClaimResult,
    ClaimRules,
} from "@lentilramp/claims";
import { ClaimCoordinator, ClaimTransport, completedOutcome, requestDigest } from "@lentilramp/claims";
import type { Timer } from "@lentilramp/runtime";
import { Clock } from "@lentilramp/runtime";
import type { Network } from "./network.ts";
import type { SimulatedEndpoint } from "./simulated-endpoint.ts";
import type { SimulatedReplica } from "./simulated-replica.ts";

/** Time between the claim and the dispatch, for example for the choice of an endpoint. */
const chooseMs = 0.2;

export type AnswerKind = ClaimResult["kind"] | "no-answer";

export interface Answer {
    kind: AnswerKind;
    /** Body of a completed answer. */
    body: string | undefined;
}

/** Clock of an entry with an error against the replicas; nothing runs after the entry has died. */
class EntryClock extends Clock {
    constructor(
        private readonly clock: Clock,
        private readonly errorMs: number,
        private readonly alive: () => boolean,
    ) {
        super();
    }

    override now(): number {
        return this.clock.now() + this.errorMs;
    }

    override schedule(at: number, run: () => void): Timer {
        return this.clock.schedule(at - this.errorMs, () => {
            if (this.alive()) {
                run();
            }
        });
    }
}

export interface EntryEnvironment {
    clock: Clock;
    network: Network;
    replicas: readonly SimulatedReplica[];
    generations: readonly ClaimGeneration[];
    rules: ClaimRules;
    endpoint: SimulatedEndpoint;
    /** Says whether a connection to the endpoint is refused. */
    refusesConnection: () => boolean;
    mayDispatch: () => boolean;
}

class SimulatedTransport extends ClaimTransport {
    private sent = 0;

    constructor(private readonly env: EntryEnvironment, private readonly entry: SimulatedEntry) {
        super();
    }

    override send(address: ClaimReplicaAddress, message: ClaimMessage): Promise<ClaimReply> {
        const { clock, network, replicas } = this.env;
        const index = Number(address.address);
        const sequence = this.sent++;
        const { name } = this.entry;
        return new Promise(resolve => {
            for (const delay of network.delays("request", name, index, sequence)) {
                clock.schedule(clock.now() + delay, () => {
                    (replicas[index] as SimulatedReplica).handle(message, reply => {
                        for (const back of network.delays("reply", name, index, sequence)) {
                            clock.schedule(clock.now() + back, () => {
                                if (this.entry.alive) {
                                    resolve(reply);
                                }
                            });
                        }
                    });
                });
            }
        });
    }
}

/** An entry that claims, dispatches and stores outcomes as the entry process does. */
export class SimulatedEntry {
    alive = true;
    private claims = 0;
    private readonly clock: Clock;
    private readonly coordinator: ClaimCoordinator;

    constructor(readonly name: string, private readonly env: EntryEnvironment, clockErrorMs = 0) {
        this.clock = new EntryClock(env.clock, clockErrorMs, () => this.alive);
        this.coordinator = new ClaimCoordinator({
            clock: this.clock,
            transport: new SimulatedTransport(env, this),
            generations: () => env.generations,
            mayDispatch: env.mayDispatch,
            newClaimant: () => `${name}/${++this.claims}`,
            rules: env.rules,
        });
    }

    async call(key: string, body: string, deadline: number): Promise<Answer> {
        const digest = requestDigest("book", Buffer.from(body));
        const result = await this.coordinator.claim({ key, digest, deadline });
        if (result.kind !== "claimed") {
            return answerOf(result);
        }
        await this.clock.sleepUntil(this.clock.now() + chooseMs);
        if (result.claim.beginDispatch() !== "dispatch") {
            return { kind: "not-run", body: undefined };
        }
        if (this.env.refusesConnection()) {
            void result.claim.markNotRun();
            return { kind: "not-run", body: undefined };
        }
        return this.dispatch(result.claim, body, deadline);
    }

    async query(key: string, deadline: number): Promise<Answer> {
        return answerOf(await this.coordinator.query(key, deadline));
    }

    async seal(key: string, deadline: number): Promise<Answer> {
        return answerOf(await this.coordinator.seal(key, deadline));
    }

    private dispatch(claim: Claim, body: string, deadline: number): Promise<Answer> {
        return new Promise(resolve => {
            const timer = this.clock.schedule(deadline, () => resolve({ kind: "unknown", body: undefined }));
            this.env.endpoint.call(body, answer => {
                if (this.alive) {
                    timer.cancel();
                    void claim.complete(completedOutcome(200, "text/plain", Buffer.from(answer)));
                    resolve({ kind: "completed", body: answer });
                }
            });
        });
    }
}

function answerOf(result: ClaimResult | CallState): Answer {
    const body = result.kind === "completed" ? Buffer.from(result.outcome.body ?? []).toString() : undefined;
    return { kind: result.kind, body };
}
