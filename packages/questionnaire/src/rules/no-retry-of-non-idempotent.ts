import { type Contradiction, ContradictionRule } from "../contradiction.ts";
import type { Questionnaire } from "../questionnaire-schema.ts";

/** Requires that automatic retries are disabled for non-idempotent operations. */
export class NoRetryOfNonIdempotentRule extends ContradictionRule {
    readonly name = "no-retry-of-non-idempotent";

    override check(answers: Questionnaire): Contradiction[] {
        return answers.teams.flatMap((team, t) =>
            team.services.flatMap((service, s) =>
                service.operations.flatMap((operation, o) =>
                    operation.automaticRetries && !operation.idempotent
                        ? [this.createContradiction(
                            `$.teams[${t}].services[${s}].operations[${o}].automaticRetries`,
                            `operation ${operation.name} of ${service.name} is non-idempotent, so it cannot be retried automatically`,
                        )]
                        : []
                )
            )
        );
    }
}
