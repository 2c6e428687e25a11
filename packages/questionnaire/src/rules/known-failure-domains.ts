import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** Requires that each failure domain named in an answer is listed, and that each pair of listed ones has a link. */
export class KnownFailureDomainsRule extends ContradictionRule {
    readonly name = "known-failure-domains";

    override check(answers: Questionnaire): Contradiction[] {
        const knownDomains = new Set(answers.failureDomains);
        const contradictions: Contradiction[] = [];
        const checkDomain = (path: string, domain: string): void => {
            if (!knownDomains.has(domain)) {
                contradictions.push(
                    this.createContradiction(path, `failure domain ${domain} is not listed in $.failureDomains`),
                );
            }
        };
        answers.entries.forEach((entry, i) => checkDomain(`$.entries[${i}].failureDomain`, entry.failureDomain));
        answers.control.forEach((member, i) => checkDomain(`$.control[${i}].failureDomain`, member.failureDomain));
        answers.links.forEach((link, i) =>
            link.between.forEach((domain, j) => checkDomain(`$.links[${i}].between[${j}]`, domain))
        );
        answers.teams.forEach((team, t) => {
            [["models", team.models] as const, ["services", team.services] as const].forEach(([kind, owned]) =>
                owned.forEach((item, i) =>
                    item.replicas.forEach((replica, r) =>
                        checkDomain(`$.teams[${t}].${kind}[${i}].replicas[${r}].failureDomain`, replica.failureDomain)
                    )
                )
            );
        });
        return [...contradictions, ...this.missingLinks(answers)];
    }

    private missingLinks(answers: Questionnaire): Contradiction[] {
        const linkedPairs = new Set(answers.links.map(link => [...link.between].sort().join(" ")));
        const domains = [...answers.failureDomains].sort();
        return domains.flatMap((a, i) =>
            domains.slice(i + 1)
                .filter(b => !linkedPairs.has(`${a} ${b}`))
                .map(b => this.createContradiction("$.links", `no link between ${a} and ${b}`))
        );
    }
}
