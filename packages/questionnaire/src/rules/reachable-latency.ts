import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/**
 * A latency promise must exceed the time that the links alone take. The least time is a round trip between caller
 * and entry; a non-idempotent operation also needs a claim, one round trip to another failure domain.
 */
export class ReachableLatencyRule extends ContradictionRule {
    readonly name = "reachable-latency";

    override check(answers: Questionnaire): Contradiction[] {
        const found: Contradiction[] = [];
        const toEntry = 2 * answers.clientDelayMs;
        const toNearestDomain = 2 * Math.min(...answers.links.map(link => link.oneWayMs), Number.MAX_SAFE_INTEGER);
        const claim = answers.links.length > 0 ? toNearestDomain : 0;
        const check = (path: string, promisedMs: number, leastMs: number): void => {
            if (promisedMs <= leastMs) {
                found.push(this.found(path, `promises ${promisedMs} ms, but the links alone take ${leastMs} ms`));
            }
        };
        answers.teams.forEach((team, t) => {
            team.models.forEach((model, m) =>
                check(`$.teams[${t}].models[${m}].firstTokenMs`, model.firstTokenMs, toEntry)
            );
            team.services.forEach((service, s) =>
                service.operations.forEach((operation, o) =>
                    check(
                        `$.teams[${t}].services[${s}].operations[${o}].promisedMs`,
                        operation.promisedMs,
                        operation.idempotent ? toEntry : toEntry + claim,
                    )
                )
            );
        });
        return found;
    }
}
