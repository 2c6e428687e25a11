import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** Requires unique names among items of the same kind, and unique addresses among all processes and replicas. */
export class UniqueNamesRule extends ContradictionRule {
    readonly name = "unique-names";

    override check(answers: Questionnaire): Contradiction[] {
        const contradictions: Contradiction[] = [];
        const checkDistinct = (label: string, items: readonly { path: string; value: string; }[]): void => {
            const firstPaths = new Map<string, string>();
            for (const item of items) {
                const firstPath = firstPaths.get(item.value);
                if (firstPath !== undefined) {
                    contradictions.push(
                        this.createContradiction(item.path, `${label} ${item.value} is already used at ${firstPath}`),
                    );
                }
                firstPaths.set(item.value, firstPath ?? item.path);
            }
        };
        const replicas = answers.teams.flatMap((team, t) =>
            [["models", team.models] as const, ["services", team.services] as const].flatMap(([kind, owned]) =>
                owned.flatMap((item, i) =>
                    item.replicas.map((replica, r) => ({ replica, path: `$.teams[${t}].${kind}[${i}].replicas[${r}]` }))
                )
            )
        );
        const idsOf = (list: readonly { id: string; }[], path: string) =>
            list.map((item, i) => ({ path: `${path}[${i}].id`, value: item.id }));
        checkDistinct(
            "failure domain",
            answers.failureDomains.map((value, i) => ({ path: `$.failureDomains[${i}]`, value })),
        );
        checkDistinct("team", answers.teams.map((team, i) => ({ path: `$.teams[${i}].name`, value: team.name })));
        checkDistinct("workspace", idsOf(answers.workspaces, "$.workspaces"));
        checkDistinct("entry", idsOf(answers.entries, "$.entries"));
        checkDistinct("control process", idsOf(answers.control, "$.control"));
        checkDistinct("replica", replicas.map(({ replica, path }) => ({ path: `${path}.id`, value: replica.id })));
        checkDistinct("address", [
            ...answers.entries.map((entry, i) => ({ path: `$.entries[${i}]`, value: `${entry.host}:${entry.port}` })),
            ...answers.control.map((member, i) => ({
                path: `$.control[${i}]`,
                value: `${member.host}:${member.port}`,
            })),
            ...replicas.map(({ replica, path }) => ({ path, value: `${replica.host}:${replica.port}` })),
        ]);
        answers.teams.forEach((team, t) =>
            team.services.forEach((service, s) =>
                checkDistinct(
                    `operation of ${service.name}`,
                    service.operations.map((operation, o) => ({
                        path: `$.teams[${t}].services[${s}].operations[${o}].name`,
                        value: operation.name,
                    })),
                )
            )
        );
        return contradictions;
    }
}
