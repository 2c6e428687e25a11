import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** Requires that each service and each model is owned by one team. */
export class SingleOwnerRule extends ContradictionRule {
    readonly name = "single-owner";

    override check(answers: Questionnaire): Contradiction[] {
        const owners = new Map<string, string>();
        const contradictions: Contradiction[] = [];
        const assignOwner = (kind: string, name: string, team: string, path: string): void => {
            const key = `${kind} ${name}`;
            const owner = owners.get(key);
            if (owner === undefined) {
                owners.set(key, team);
                return;
            }
            contradictions.push(
                this.createContradiction(path, `${key} is already owned by team ${owner}; only one team can own it`),
            );
        };
        answers.teams.forEach((team, t) => {
            team.services.forEach((service, s) =>
                assignOwner("service", service.name, team.name, `$.teams[${t}].services[${s}].name`)
            );
            team.models.forEach((model, m) =>
                assignOwner("model", model.name, team.name, `$.teams[${t}].models[${m}].name`)
            );
        });
        return contradictions;
    }
}
