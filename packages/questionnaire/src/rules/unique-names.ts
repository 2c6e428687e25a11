import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** Names and addresses that identify something are given once. */
export class UniqueNamesRule extends ContradictionRule {
    readonly name = "unique-names";

    override check(answers: Questionnaire): Contradiction[] {
        const found: Contradiction[] = [];
        const distinct = (what: string, items: readonly { path: string; value: string; }[]): void => {
            const first = new Map<string, string>();
            for (const item of items) {
                const earlier = first.get(item.value);
                if (earlier !== undefined) {
                    found.push(this.found(item.path, `${what} ${item.value} is used at ${earlier} already`));
                }
                first.set(item.value, earlier ?? item.path);
            }
        };
        const replicas = answers.teams.flatMap((team, t) =>
            [["models", team.models] as const, ["services", team.services] as const].flatMap(([kind, owned]) =>
                owned.flatMap((item, i) =>
                    item.replicas.map((replica, r) => ({ replica, path: `$.teams[${t}].${kind}[${i}].replicas[${r}]` }))
                )
            )
        );
        const named = (list: readonly { id: string; }[], path: string) =>
            list.map((item, i) => ({ path: `${path}[${i}].id`, value: item.id }));
        distinct(
            "failure domain",
            answers.failureDomains.map((value, i) => ({ path: `$.failureDomains[${i}]`, value })),
        );
        distinct("team", answers.teams.map((team, i) => ({ path: `$.teams[${i}].name`, value: team.name })));
        distinct("workspace", named(answers.workspaces, "$.workspaces"));
        distinct("entry", named(answers.entries, "$.entries"));
        distinct("control process", named(answers.control, "$.control"));
        distinct("replica", replicas.map(({ replica, path }) => ({ path: `${path}.id`, value: replica.id })));
        distinct("address", [
            ...answers.entries.map((entry, i) => ({ path: `$.entries[${i}]`, value: `${entry.host}:${entry.port}` })),
            ...answers.control.map((member, i) => ({
                path: `$.control[${i}]`,
                value: `${member.host}:${member.port}`,
            })),
            ...replicas.map(({ replica, path }) => ({ path, value: `${replica.host}:${replica.port}` })),
        ]);
        answers.teams.forEach((team, t) =>
            team.services.forEach((service, s) =>
                distinct(
                    `operation of ${service.name}`,
                    service.operations.map((operation, o) => ({
                        path: `$.teams[${t}].services[${s}].operations[${o}].name`,
                        value: operation.name,
                    })),
                )
            )
        );
        return found;
    }
}
