import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** Control processes are odd in number and no failure domain holds a majority of them, unless there is one only. */
export class ControlSpreadRule extends ContradictionRule {
    readonly name = "control-spread";

    override check(answers: Questionnaire): Contradiction[] {
        const total = answers.control.length;
        const found: Contradiction[] = [];
        if (total % 2 === 0) {
            found.push(
                this.found(
                    "$.control",
                    `${total} control processes tolerate no more losses than ${total - 1}; give an odd number`,
                ),
            );
        }
        for (const domain of answers.failureDomains) {
            const held = answers.control.filter(member => member.failureDomain === domain).length;
            if (answers.failureDomains.length > 1 && held > total / 2) {
                found.push(
                    this.found(
                        "$.control",
                        `failure domain ${domain} holds ${held} of ${total} control processes; its loss would stop changes`,
                    ),
                );
            }
        }
        return found;
    }
}
