import { z } from "zod";
import { type OrderOutcome, rolloutStateSchema, type RolloutStatus } from "./rollout-order.ts";

/** Largest number of versions of a service that get no request; the oldest is forgotten first. */
const maxBarredVersions = 32;
/** Largest number of services with a recorded roll-out; those that ended first are forgotten first. */
const maxServices = 256;
/** Index of the last step, at which all requests go to the target. */
export const lastStep = 3;

/** The last roll-out of a service. Instants are times of day by the fleet's clock, in milliseconds. */
export const rolloutSchema = z.object({
    target: z.string(),
    orderedAt: z.number(),
    /** Instant by which the traffic is to be moved. */
    deadline: z.number(),
    /** Other versions that the endpoints of the service had at the time of the order. */
    previous: z.array(z.string()),
    /** Whether the versions of the first list of endpoints that is read after the order are still to be added to them. */
    awaitsList: z.boolean().optional(),
    state: rolloutStateSchema,
    /** Step of the exposure: 0 is the canary, `lastStep` all requests. */
    step: z.int().min(0).max(lastStep),
    /** Instant of the order, the last step or the decision. */
    changedAt: z.number(),
    /** Versions that get no request: rolled back, or replaced. */
    barred: z.array(z.string()),
});
export type Rollout = z.infer<typeof rolloutSchema>;

/** The replicated state of all roll-outs. */
export const rolloutBookSchema = z.object({
    /** Number of changes; a higher one is newer, at whichever steward. */
    revision: z.number(),
    services: z.record(z.string(), rolloutSchema),
});
export type RolloutBook = z.infer<typeof rolloutBookSchema>;

export const emptyRolloutBook: RolloutBook = { revision: 0, services: {} };

/** An order, as the leader that took it proposes it. */
export const orderCommandSchema = z.object({
    type: z.literal("rollout-order"),
    service: z.string(),
    target: z.string(),
    orderedAt: z.number(),
    deadline: z.number(),
    /** Versions of the service's endpoints that the leader knows. */
    listed: z.array(z.string()),
    /** Whether the leader has no recent list of endpoints, so that the versions of the next one count as well. */
    awaitsList: z.boolean().optional(),
    /** An order for a roll-out that ended at this instant or later is a repetition. */
    repeatsSince: z.number(),
});
/** A change of a running roll-out, which is named by its order. */
export const progressCommandSchema = z.object({
    type: z.literal("rollout-progress"),
    service: z.string(),
    orderedAt: z.number(),
    at: z.number(),
    change: z.union([
        z.object({ step: z.int().min(0).max(lastStep) }),
        z.object({ state: z.enum(["completed", "rolled_back"]) }),
        /** Versions of the first list of endpoints that was read after an order that awaits it. */
        z.object({ listed: z.array(z.string()) }),
    ]),
});
export type OrderCommand = z.infer<typeof orderCommandSchema>;
export type ProgressCommand = z.infer<typeof progressCommandSchema>;

/** Returns the roll-out of a service; a service may be named like a property of all objects. */
export function findRollout(book: RolloutBook, service: string): Rollout | undefined {
    return Object.hasOwn(book.services, service) ? book.services[service] : undefined;
}

/** Returns what operators are told of the roll-out of a service; undefined if there was none. */
export function rolloutStatus(book: RolloutBook, service: string): RolloutStatus | undefined {
    const rollout = findRollout(book, service);
    return rollout && { state: rollout.state, target: rollout.target };
}

/** Whether an order repeats the last one of its service, which runs or has ended at `repeatsSince` or later. */
export function repeatsOrder(
    book: RolloutBook,
    { service, target, repeatsSince }: Pick<OrderCommand, "service" | "target" | "repeatsSince">,
): boolean {
    const last = findRollout(book, service);
    return last?.target === target && (last.state === "running" || last.changedAt >= repeatsSince);
}

/** Applies a committed order, and returns the new state and what became of the order. */
export function applyOrder(
    book: RolloutBook,
    { service, target, orderedAt, deadline, listed, awaitsList, repeatsSince }: OrderCommand,
): { book: RolloutBook; outcome: OrderOutcome; } {
    const last = findRollout(book, service);
    if (repeatsOrder(book, { service, target, repeatsSince })) {
        return { book, outcome: { kind: "accepted", repeated: true } };
    }
    if (last?.state === "running") {
        return { book, outcome: { kind: "conflict", target: last.target } };
    }
    const rollout: Rollout = {
        target,
        orderedAt,
        deadline,
        previous: otherVersions(listed, target),
        ...awaitsList === true ? { awaitsList } : {},
        state: "running",
        step: 0,
        changedAt: orderedAt,
        barred: last?.barred.filter(version => version !== target) ?? [],
    };
    return { book: replace(book, service, rollout), outcome: { kind: "accepted", repeated: false } };
}

/** Applies a committed change; one of a roll-out that has ended, or of an earlier order, changes nothing. */
export function applyProgress(book: RolloutBook, { service, orderedAt, at, change }: ProgressCommand): RolloutBook {
    const rollout = findRollout(book, service);
    if (rollout?.state !== "running" || rollout.orderedAt !== orderedAt) {
        return book;
    }
    if ("step" in change) {
        return change.step <= rollout.step
            ? book
            : replace(book, service, { ...rollout, step: change.step, changedAt: at });
    }
    if ("listed" in change) {
        const { awaitsList, ...known } = rollout;
        const previous = otherVersions([...known.previous, ...change.listed], known.target);
        return awaitsList === true ? replace(book, service, { ...known, previous }) : book;
    }
    const added = change.state === "completed" ? rollout.previous : [rollout.target];
    const barred = [...rollout.barred.filter(version => !added.includes(version)), ...added].slice(-maxBarredVersions);
    return replace(book, service, { ...rollout, state: change.state, changedAt: at, barred });
}

function otherVersions(versions: readonly string[], target: string): string[] {
    return [...new Set(versions)].filter(version => version !== target).sort();
}

function replace(book: RolloutBook, service: string, rollout: Rollout): RolloutBook {
    const others = Object.entries(book.services).filter(([name]) => name !== service);
    const ended = others.filter(([, { state }]) => state !== "running")
        .sort(([, one], [, other]) => one.changedAt - other.changedAt);
    const forgotten = new Set(ended.slice(0, Math.max(0, others.length + 1 - maxServices)).map(([name]) => name));
    return {
        revision: book.revision + 1,
        services: Object.fromEntries([...others.filter(([name]) => !forgotten.has(name)), [service, rollout]]),
    };
}
