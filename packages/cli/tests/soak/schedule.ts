import { SeededRandom } from "@lentilramp/runtime";
import type { ProxyMode } from "./chaos-proxy.ts";
import { type EndlessPart, endlessParts } from "./soak-endpoint.ts";

/** One fault: what happens to which target, from when, and for how long, in milliseconds from the start. */
export interface Fault {
    at: number;
    forMs: number;
    kind: "kill" | "pause" | "stop" | "reload" | "path" | "platform-down";
    /** Index among the stewards, the ingresses or the paths. */
    target: number;
    role: "steward" | "ingress" | "path";
    mode?: ProxyMode;
    /** Why a process was stopped that the seed's schedule does not name. */
    reason?: "upgrade";
}

const modes: readonly ProxyMode[] = ["delay", "reset", "silent", "one-way"];
/** Mean time between two faults, in milliseconds; they last longer than that, so that they overlap. */
const meanGapMs = 700;
/** Time before the first fault, in milliseconds. */
const quietMs = 1_500;

/** The faults of a seed; the same seed and size give the same faults. */
export function schedule(seed: number, seconds: number, sizes: Record<Fault["role"], number>): Fault[] {
    const random = new SeededRandom(seed);
    const faults: Fault[] = [];
    for (let at = quietMs; at < seconds * 1_000; at += random.next() * 2 * meanGapMs) {
        const kinds: Fault["kind"][] = ["kill", "pause", "stop", "path", "path", "reload", "platform-down"];
        const kind = kinds[random.nextInt(kinds.length)] ?? "path";
        const role = kind === "path" ? "path" : random.next() < 0.4 ? "steward" : "ingress";
        faults.push({
            at: Math.round(at),
            forMs: Math.round(300 + random.next() * 2_500),
            kind,
            role,
            target: random.nextInt(sizes[role]),
            mode: kind === "path" ? modes[random.nextInt(modes.length)] : undefined,
        });
    }
    return faults;
}

export function describeFault({ at, forMs, kind, role, target, mode, reason }: Fault): string {
    const details = `${mode === undefined ? "" : ` mode=${mode}`}${reason === undefined ? "" : ` reason=${reason}`}`;
    return `at=${at} forMs=${forMs} kind=${kind} target=${role}-${target}${details}`;
}

/** A limit that an endpoint names in its answers, from when and for how long, in milliseconds from the start. */
export interface LimitPhase {
    at: number;
    forMs: number;
    /** Index among the endpoints. */
    target: number;
    value: string;
}

/** Limits that endpoints name, among them values that are no limit. */
const limitValues: readonly string[] = ["2", "0.5", "3.8", "0", "12", "1000000000", "-3", "many"];
/** Shortest time for which an endpoint names a limit, in milliseconds; the rule holds for the last part of it. */
const minLimitMs = 7_000;

/** Returns the limits that endpoints name with a seed; an endpoint names one limit at a time. */
export function limitSchedule(seed: number, seconds: number, endpoints: number): LimitPhase[] {
    const random = new SeededRandom(seed + 1_000_003);
    const phases: LimitPhase[] = [];
    for (let target = 0; target < endpoints; target++) {
        for (let at = random.next() * quietMs; at < seconds * 1_000;) {
            const forMs = minLimitMs + random.next() * 5_000;
            if (random.next() < 0.6) {
                const value = limitValues[random.nextInt(limitValues.length)] ?? "2";
                phases.push({ at: Math.round(at), forMs: Math.round(forMs), target, value });
            }
            at += forMs + random.next() * 2_000;
        }
    }
    return phases;
}

export function describeLimit({ at, forMs, target, value }: LimitPhase): string {
    return `at=${at} forMs=${forMs} kind=limit target=endpoint-${target} value=${value}`;
}

/** What an endpoint sends without end, from when and for how long, in milliseconds from the start. */
export interface EndlessPhase {
    at: number;
    forMs: number;
    /** Index among the endpoints. */
    target: number;
    part: EndlessPart;
}

/** Returns the phases of a seed in which one endpoint after the other sends without end. */
export function endlessSchedule(seed: number, seconds: number, endpoints: number): EndlessPhase[] {
    const random = new SeededRandom(seed + 2_000_003);
    const phases: EndlessPhase[] = [];
    for (let at = quietMs + random.next() * 2_000; at < seconds * 1_000;) {
        const forMs = 500 + random.next() * 2_000;
        phases.push({
            at: Math.round(at),
            forMs: Math.round(forMs),
            target: random.nextInt(endpoints),
            part: endlessParts[random.nextInt(endlessParts.length)] ?? "event",
        });
        at += forMs + random.next() * 4_000;
    }
    return phases;
}

export function describeEndless({ at, forMs, target, part }: EndlessPhase): string {
    return `at=${at} forMs=${forMs} kind=endless-${part} target=endpoint-${target}`;
}
