import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** A service or model has one owner. */
export class SingleOwnerRule extends ContradictionRule {
    readonly name = "single-owner";

    override check(answers: Questionnaire): Contradiction[] {
        const owners = new Map<string, string>();
        const found: Contradiction[] = [];
        const claim = (kind: string, owned: string, team: string, path: string): void => {
            const key = `${kind} ${owned}`;
            const owner = owners.get(key);
            if (owner === undefined) {
                owners.set(key, team);
                return;
            }
            found.push(this.found(path, `${key} is owned by team ${owner} already; only one team can own it`));
        };
        answers.teams.forEach((team, t) => {
            team.services.forEach((service, s) =>
                claim("service", service.name, team.name, `$.teams[${t}].services[${s}].name`)
            );
            team.models.forEach((model, m) => claim("model", model.name, team.name, `$.teams[${t}].models[${m}].name`));
        });
        return found;
    }
}
