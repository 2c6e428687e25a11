import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/**
 * Requires an odd number of control processes. If there are several failure domains, none of them may hold a majority
 * of the control processes.
 */
export class ControlSpreadRule extends ContradictionRule {
    readonly name = "control-spread";

    override check(answers: Questionnaire): Contradiction[] {
        const total = answers.control.length;
        const contradictions: Contradiction[] = [];
        if (total % 2 === 0) {
            contradictions.push(
                this.createContradiction(
                    "$.control",
                    `${total} control processes tolerate no more failures than ${total - 1}; use an odd number`,
                ),
            );
        }
        for (const domain of answers.failureDomains) {
            const memberCount = answers.control.filter(member => member.failureDomain === domain).length;
            if (answers.failureDomains.length > 1 && memberCount > total / 2) {
                contradictions.push(
                    this.createContradiction(
                        "$.control",
                        `failure domain ${domain} holds ${memberCount} of ${total} control processes; losing it would leave no quorum for changes`,
                    ),
                );
            }
        }
        return contradictions;
    }
}
