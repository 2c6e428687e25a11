import { playFaultyModel, timeoutMs } from "../faulty-model.mjs";
import { runCase } from "../stand-ins.mjs";

/** Time after its route's timeout by which a request must have an answer, in milliseconds (RULES.md, CONFIG). */
const answerSlackMs = 500;
/** Requests without an answer at the timeout from which the share of those that are later still is judged. */
const judgedFrom = 8;

await runCase("review/4/record.txt", async parts => {
    const patienceMs = timeoutMs + 4 * answerSlackMs;
    const { views, ownMs } = await playFaultyModel(parts, { patienceMs, budgetMs: patienceMs });
    const unanswered = views.filter(({ ms }) => ms > timeoutMs);
    const later = unanswered.filter(({ answered, ms }) => !answered || ms > timeoutMs + answerSlackMs);
    const result =
        `${views.length} plain requests, ${unanswered.length} without an answer at the timeout of their route, `
        + `${later.length} half a second later; own delay ${ownMs} ms at most`;
    parts.record.add(result);
    return unanswered.length >= judgedFrom && later.length > unanswered.length / 2 ? result : undefined;
});
