import type { CallSeen } from "./promises.ts";
import type { Fault } from "./schedule.ts";

/** A request that was in flight this long around a fault of its ingress may have been cut by it, in milliseconds. */
export const blameMs = 3_000;

/**
 * Returns a line for each connection that ended without an answer at an ingress whose only fault near that time was a
 * planned stop. The times of the faults count from `startedAt`.
 */
export function cutByPlannedStops(calls: readonly CallSeen[], faults: readonly Fault[], startedAt: number): string[] {
    const near = (fault: Fault, call: CallSeen): boolean => {
        const at = startedAt + fault.at;
        return call.endedAt > at && call.sentAt < at + fault.forMs + blameMs;
    };
    return calls.filter(call => call.status === undefined).filter(call => {
        const around = faults.filter(fault => near(fault, call));
        const own = around.filter(({ role, target }) => role === "ingress" && target === call.ingress);
        return own.length > 0 && around.every(({ kind }) => kind === "stop" || kind === "reload");
    }).filter(call => call.endedAt - call.sentAt > 5).map(call =>
        `cut by a planned stop: ${call.kind} ${call.id} after ${call.endedAt - call.sentAt} ms`
    );
}
