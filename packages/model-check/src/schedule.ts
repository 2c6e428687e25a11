import { type RandomSource, SeededRandom } from "@lentilramp/runtime";
import { InvariantViolation } from "./history.ts";
import { defaultSimulationSettings, type Host, Simulation, type SimulationSettings } from "./simulation.ts";

/** One step of a random schedule; `host` is taken modulo the number of hosts. */
export type ScheduleStep =
    | { readonly kind: "run"; readonly ms: number; }
    | { readonly kind: "crash" | "restart" | "replace" | "read" | "hand-over"; readonly host: number; }
    | { readonly kind: "propose"; readonly host: number; readonly count: number; }
    | { readonly kind: "partition"; readonly groups: readonly number[]; };

const stepKinds = [
    "run",
    "run",
    "run",
    "crash",
    "restart",
    "replace",
    "read",
    "hand-over",
    "propose",
    "propose",
    "restart",
    "partition",
];

export function randomStep(random: RandomSource): ScheduleStep {
    const kind = stepKinds[random.nextInt(stepKinds.length)] as ScheduleStep["kind"];
    const host = random.nextInt(5);
    switch (kind) {
        case "run":
            return { kind, ms: 1 + random.nextInt(random.next() < 0.5 ? 20 : 1_000) };
        case "propose":
            return { kind, host, count: 1 + random.nextInt(12) };
        case "partition":
            return { kind, groups: Array.from({ length: 5 }, random.next() < 0.5 ? () => 0 : () => random.nextInt(2)) };
        default:
            return { kind, host };
    }
}

/** Runs a schedule, then repairs everything and checks that the group makes progress and agrees. */
export function runSchedule(steps: readonly ScheduleStep[], partial: Partial<SimulationSettings> = {}): Simulation {
    const simulation = new Simulation({ ...defaultSimulationSettings, ...partial });
    let sequence = 0;
    for (const step of steps) {
        sequence += 1;
        runStep(simulation, step, sequence);
        repairMembership(simulation, sequence);
    }
    recover(simulation);
    return simulation;
}

function runStep(simulation: Simulation, step: ScheduleStep, sequence: number): void {
    switch (step.kind) {
        case "run":
            return simulation.run(step.ms);
        case "crash":
            return simulation.crash(step.host);
        case "restart":
            return simulation.restart(step.host);
        case "replace":
            // The data of a majority must survive: a disk is lost only when no repair is under way.
            return allAreVoters(simulation) ? simulation.replace(step.host) : undefined;
        case "read":
            return simulation.read(step.host, `read-${sequence}`);
        case "hand-over":
            return simulation.step(simulation.host(step.host), { type: "hand-over" });
        case "propose":
            for (let i = 0; i < step.count; i++) {
                const command = `c${sequence}.${i}`;
                const host = step.host % 2 === 0 ? simulation.leader() : undefined;
                simulation.step(host ?? simulation.host(step.host), { type: "propose", id: command, command });
            }
            return;
        case "partition":
            return simulation.partition(step.groups);
    }
}

function allAreVoters(simulation: Simulation): boolean {
    const status = simulation.leader()?.node?.status;
    return status !== undefined && status.commitIndex === status.lastIndex
        && status.membership.members.length === simulation.hosts.length
        && simulation.hosts.every(host => status.membership.members.some(m => m.id === host.id && m.voter));
}

/** Acts as the caller does for a new identity: removes the lost one, adds the new one, promotes it. */
function repairMembership(simulation: Simulation, sequence: number): void {
    const leader = simulation.leader();
    const members = leader?.node?.status.membership.members;
    if (leader === undefined || members === undefined) {
        return;
    }
    const lost = members.find(member => !simulation.hosts.some(host => host.id === member.id));
    const joiner = simulation.hosts.find(host => !members.some(member => member.id === host.id && member.voter));
    if (joiner === undefined) {
        return;
    }
    const change = lost !== undefined
        ? { kind: "remove", id: lost.id } as const
        : members.some(member => member.id === joiner.id)
        ? { kind: "promote", id: joiner.id } as const
        : { kind: "add-learner", id: joiner.id, address: `host${joiner.slot}` } as const;
    simulation.step(leader, { type: "change-membership", id: `change-${sequence}`, change });
}

function recover(simulation: Simulation): void {
    simulation.partition([]);
    simulation.hosts.forEach((host: Host) => simulation.restart(host.slot));
    for (let i = 0; i < 60; i++) {
        simulation.run(200);
        repairMembership(simulation, 1_000_000 + i);
    }
    const leader = simulation.leader();
    if (leader === undefined || !allAreVoters(simulation)) {
        throw new InvariantViolation("progress after repair", "no leader, or a host is not a voter");
    }
    simulation.step(leader, { type: "propose", id: "last", command: "last" });
    simulation.run(1_000);
    if (!simulation.committedCommands.has("last")) {
        throw new InvariantViolation("progress after repair", "a command was not committed within 1,000 ms");
    }
    const digests = new Set(simulation.hosts.map(host => `${host.appliedIndex} ${host.digest}`));
    if (digests.size !== 1) {
        throw new InvariantViolation("state machines agree", [...digests].join(", "));
    }
    const bound = 8 + 2 + 13;
    const long = simulation.hosts.find(host => (host.node?.status.logEntries ?? 0) > bound);
    if (long !== undefined) {
        throw new InvariantViolation("the log is bounded", `${long.id} keeps ${long.node?.status.logEntries} entries`);
    }
}

/** A schedule that depends on the seed only. */
export function randomSchedule(seed: number, length: number): ScheduleStep[] {
    const random = new SeededRandom(seed);
    return Array.from({ length }, () => randomStep(random));
}
