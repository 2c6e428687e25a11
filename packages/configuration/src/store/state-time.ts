import { z } from "zod";
import { type CommandTime, commandTimeSchema } from "./command.ts";

/**
 * Time of the replicated state. `elapsed` advances with the instants in the commands of one leader and doesn't advance
 * across a change of leader, because the clocks of two leaders aren't synchronized. Apart from the clock rate error it
 * never runs ahead of real time, so a lease measured by it may expire late but not early.
 */
export const stateTimeSchema = z.strictObject({ last: commandTimeSchema.optional(), elapsed: z.number().min(0) });
export type StateTime = z.infer<typeof stateTimeSchema>;

/** Returns the state time after a command. A clock that goes backwards within an epoch doesn't change `elapsed`. */
export function advanceStateTime(time: StateTime, command: CommandTime): StateTime {
    const { last, elapsed } = time;
    if (last === undefined || last.epoch !== command.epoch) {
        return { last: command, elapsed };
    }
    const latestAt = Math.max(last.at, command.at);
    return { last: { epoch: command.epoch, at: latestAt }, elapsed: elapsed + latestAt - last.at };
}
