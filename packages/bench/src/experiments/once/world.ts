import type { ClaimGeneration, ClaimRules } from "@lentilramp/claims";
import { allClaimRules, RETENTION_MS } from "@lentilramp/claims";
import { v7 } from "uuid";
import type { Network } from "./network.ts";
import { SteadyNetwork } from "./network.ts";
import { SimulatedEndpoint } from "./simulated-endpoint.ts";
import type { Answer, EntryEnvironment } from "./simulated-entry.ts";
import { SimulatedEntry } from "./simulated-entry.ts";
import type { ReplicaFault } from "./simulated-replica.ts";
import { SimulatedReplica } from "./simulated-replica.ts";
import { SteppingClock } from "./stepping-clock.ts";

const startTime = Date.UTC(2026, 0, 1);
const callMs = 2_000;
const inspectMs = 1_000;
/** All calls, resends and outcome writes of a run have ended by then. */
const quietMs = 30_000;
const afterExpiryMs = 20 * 60 * 1_000;

export interface Copy {
    entry: number;
    atMs: number;
    body: string;
}

export interface Fault {
    /** Number of events before the fault. */
    afterEvents: number;
    target: { entry: number; } | { replica: number; fault: ReplicaFault; };
}

export interface RunPlan {
    network: Network;
    copies: readonly Copy[];
    /** Query and then seal through an entry. */
    inspections: readonly { entry: number; atMs: number; }[];
    faults: readonly Fault[];
    rules?: ClaimRules;
    refusesConnection?: () => boolean;
    mayDispatch?: () => boolean;
    /** Difference of the clock of each entry from that of the replicas. */
    clockErrorsMs?: readonly number[];
    /** Says whether the disk of a replica refuses a write. */
    refusesWrite?: () => boolean;
}

export interface RunResult {
    events: number;
    executions: number;
    /** First answers to the copies of the plan, in order. */
    copies: Answer["kind"][];
    inspections: Answer["kind"][];
    violations: string[];
}

/** Runs one plan: the copies, then a late copy and a seal over a sound network, then a copy after the expiry. */
export async function runPlan(plan: RunPlan): Promise<RunResult> {
    const clock = new SteppingClock(startTime);
    const rules = plan.rules ?? allClaimRules;
    let faulty = true;
    const refusesWrite = () => faulty && plan.refusesWrite?.() === true;
    const replicas = [0, 1, 2].map(i => new SimulatedReplica(`replica-${i}`, clock, rules, refusesWrite));
    const endpoint = new SimulatedEndpoint(clock);
    const generations: ClaimGeneration[] = [{
        generation: 1,
        fromIssueTime: 0,
        replicas: replicas.map((replica, i) => ({
            identity: replica.identity,
            address: String(i),
            failureDomain: `domain-${i}`,
        })),
    }];
    const env: EntryEnvironment = {
        clock,
        network: plan.network,
        replicas,
        generations,
        rules,
        endpoint,
        refusesConnection: plan.refusesConnection ?? (() => false),
        mayDispatch: plan.mayDispatch ?? (() => true),
    };
    const entries = ["entry-a", "entry-b", "entry-c"].map((name, i) =>
        new SimulatedEntry(name, env, plan.clockErrorsMs?.[i])
    );
    const sound = { ...env, network: new SteadyNetwork(() => 1), refusesConnection: () => false };
    const late = new SimulatedEntry("entry-late", { ...sound, mayDispatch: () => true });
    const key = v7({ msecs: startTime, random: new Uint8Array(16).fill(1), seq: 1 });

    const answers: { answer: Answer; body: string | undefined; }[] = [];
    const ask = (atMs: number, body: string | undefined, run: () => Promise<Answer>) => {
        const slot = { answer: { kind: "no-answer", body: undefined } as Answer, body };
        answers.push(slot);
        clock.schedule(startTime + atMs, () => void run().then(answer => slot.answer = answer));
        return slot;
    };
    const deadline = (ms: number) => clock.now() + ms;
    const copies = plan.copies.map(copy => {
        const entry = entries[copy.entry] as SimulatedEntry;
        return ask(copy.atMs, copy.body, () => entry.call(key, copy.body, deadline(callMs)));
    });
    const inspections = plan.inspections.flatMap(({ entry, atMs }) => {
        const asked = entries[entry] as SimulatedEntry;
        return [
            ask(atMs, undefined, () => asked.query(key, deadline(inspectMs))),
            ask(atMs + inspectMs, undefined, () => asked.seal(key, deadline(inspectMs))),
        ];
    });

    let events = 0;
    for (;;) {
        for (const { target } of plan.faults.filter(fault => fault.afterEvents === events)) {
            if ("entry" in target) {
                (entries[target.entry] as SimulatedEntry).alive = false;
            }
            else {
                (replicas[target.replica] as SimulatedReplica).fail(target.fault);
            }
        }
        if (!await clock.step(startTime + quietMs)) {
            break;
        }
        events++;
    }

    faulty = false;
    const runLate = async (run: () => Promise<Answer>, body?: string) => {
        ask(clock.now() - startTime, body, run);
        for (const end = clock.now() + quietMs; await clock.step(end);) {
            // Runs until the last event of this request.
        }
    };
    const lateBody = plan.copies[0]?.body ?? "";
    await runLate(() => late.call(key, lateBody, deadline(callMs)), lateBody);
    await runLate(() => late.seal(key, deadline(inspectMs)));
    clock.jumpTo(startTime + RETENTION_MS + afterExpiryMs);
    replicas.forEach(replica => replica.expire());
    await runLate(() => late.call(key, lateBody, deadline(callMs)), lateBody);

    return {
        events,
        executions: endpoint.executions.length,
        copies: copies.map(slot => slot.answer.kind),
        inspections: inspections.map(slot => slot.answer.kind),
        violations: violationsOf(endpoint, answers),
    };
}

function violationsOf(
    endpoint: SimulatedEndpoint,
    answers: readonly { answer: Answer; body: string | undefined; }[],
): string[] {
    const { executions } = endpoint;
    const violations: string[] = [];
    if (executions.length > 1) {
        violations.push("double execution");
    }
    for (const { answer, body } of answers) {
        if (answer.kind === "not-run" && executions.length > 0) {
            violations.push("untrue not-run");
        }
        if (answer.kind === "completed") {
            const execution = executions.find(candidate => candidate.answer === answer.body);
            if (execution === undefined) {
                violations.push("answer of no execution");
            }
            else if (body !== undefined && execution.body !== body) {
                violations.push("answer to another body");
            }
        }
    }
    return violations;
}
