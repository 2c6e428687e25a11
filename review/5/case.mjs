import { ownDelayMs, playFaultyModel } from "../faulty-model.mjs";
import { runCase } from "../stand-ins.mjs";

/** Time budget of the plain requests, and the time after which their consumers leave, in milliseconds. */
const budgetMs = 1_500;
const patienceMs = 500;
/** Time after the close from which no request may reach a replica, in milliseconds (RULES.md, GONE). */
const closeSlackMs = 500;
/** Requests that may reach a replica later all the same: "a few". */
const few = 7;

await runCase("review/5/record.txt", async parts => {
    const { views, ownMs, runs } = await playFaultyModel(parts, { patienceMs, budgetMs });
    const late = views.filter(({ id, answered, sentAt, ms }) =>
        !answered && (runs.get(id) ?? -Infinity) > sentAt + ms + closeSlackMs + ownDelayMs
    );
    const left = views.filter(({ answered }) => !answered).length;
    const longest = Math.max(0, ...late.map(({ id, sentAt, ms }) => runs.get(id) - sentAt - ms));
    const result =
        `${views.length} plain requests, ${left} consumers left; ${late.length} of their requests reached a replica `
        + `over half a second later, up to ${longest} ms after the close; own delay ${ownMs} ms at most`;
    parts.record.add(result);
    return late.length > few ? result : undefined;
});
