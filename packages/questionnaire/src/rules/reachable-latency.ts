import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/**
 * Requires that each latency promise exceeds the delay of the links alone. The minimum is one round trip between caller
 * and entry. A non-idempotent operation also needs a claim, which takes one round trip to another failure domain.
 */
export class ReachableLatencyRule extends ContradictionRule {
    readonly name = "reachable-latency";

    override check(answers: Questionnaire): Contradiction[] {
        const contradictions: Contradiction[] = [];
        const clientRoundTripMs = 2 * answers.clientDelayMs;
        const nearestDomainRoundTripMs = 2
            * Math.min(...answers.links.map(link => link.oneWayMs), Number.MAX_SAFE_INTEGER);
        const claimMs = answers.links.length > 0 ? nearestDomainRoundTripMs : 0;
        const checkPromise = (path: string, promisedMs: number, minMs: number): void => {
            if (promisedMs <= minMs) {
                contradictions.push(
                    this.createContradiction(path, `promises ${promisedMs} ms, but the links alone take ${minMs} ms`),
                );
            }
        };
        answers.teams.forEach((team, t) => {
            team.models.forEach((model, m) =>
                checkPromise(`$.teams[${t}].models[${m}].firstTokenMs`, model.firstTokenMs, clientRoundTripMs)
            );
            team.services.forEach((service, s) =>
                service.operations.forEach((operation, o) =>
                    checkPromise(
                        `$.teams[${t}].services[${s}].operations[${o}].promisedMs`,
                        operation.promisedMs,
                        operation.idempotent ? clientRoundTripMs : clientRoundTripMs + claimMs,
                    )
                )
            );
        });
        return contradictions;
    }
}
