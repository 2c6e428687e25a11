import { z } from "zod";
import { type CommandTime, commandTimeSchema } from "./command.ts";

/**
 * Time of the replicated state. `elapsed` grows with the instants of the commands of one leader and stands still across
 * a change of leader, because the clocks of two leaders share no time of day. It therefore never runs ahead of real
 * time (up to the clock rate error), so that a lease measured by it ends late rather than early.
 */
export const stateTimeSchema = z.strictObject({ last: commandTimeSchema.optional(), elapsed: z.number().min(0) });
export type StateTime = z.infer<typeof stateTimeSchema>;

/** Returns the state time after a command; a clock that goes back within an epoch adds nothing. */
export function advanceStateTime(time: StateTime, command: CommandTime): StateTime {
    const { last, elapsed } = time;
    if (last === undefined || last.epoch !== command.epoch) {
        return { last: command, elapsed };
    }
    const at = Math.max(last.at, command.at);
    return { last: { epoch: command.epoch, at }, elapsed: elapsed + at - last.at };
}
