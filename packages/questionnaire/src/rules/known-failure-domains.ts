import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** Every failure domain that an answer names is listed, and every pair of them has one link. */
export class KnownFailureDomainsRule extends ContradictionRule {
    readonly name = "known-failure-domains";

    override check(answers: Questionnaire): Contradiction[] {
        const known = new Set(answers.failureDomains);
        const found: Contradiction[] = [];
        const check = (path: string, domain: string): void => {
            if (!known.has(domain)) {
                found.push(this.found(path, `failure domain ${domain} is not listed in $.failureDomains`));
            }
        };
        answers.entries.forEach((entry, i) => check(`$.entries[${i}].failureDomain`, entry.failureDomain));
        answers.control.forEach((member, i) => check(`$.control[${i}].failureDomain`, member.failureDomain));
        answers.links.forEach((link, i) =>
            link.between.forEach((domain, j) => check(`$.links[${i}].between[${j}]`, domain))
        );
        answers.teams.forEach((team, t) => {
            [["models", team.models] as const, ["services", team.services] as const].forEach(([kind, owned]) =>
                owned.forEach((item, i) =>
                    item.replicas.forEach((replica, r) =>
                        check(`$.teams[${t}].${kind}[${i}].replicas[${r}].failureDomain`, replica.failureDomain)
                    )
                )
            );
        });
        return [...found, ...this.missingLinks(answers)];
    }

    private missingLinks(answers: Questionnaire): Contradiction[] {
        const linked = new Set(answers.links.map(link => [...link.between].sort().join(" ")));
        const domains = [...answers.failureDomains].sort();
        return domains.flatMap((a, i) =>
            domains.slice(i + 1)
                .filter(b => !linked.has(`${a} ${b}`))
                .map(b => this.found("$.links", `no link between ${a} and ${b}`))
        );
    }
}
