import type { Contradiction, ContradictionRule } from "./contradiction.ts";
import type { Questionnaire } from "./questionnaire-schema.ts";
import { ControlSpreadRule } from "./rules/control-spread.ts";
import { KnownFailureDomainsRule } from "./rules/known-failure-domains.ts";
import { NoRetryOfNonIdempotentRule } from "./rules/no-retry-of-non-idempotent.ts";
import { ReachableLatencyRule } from "./rules/reachable-latency.ts";
import { SingleOwnerRule } from "./rules/single-owner.ts";
import { UniqueNamesRule } from "./rules/unique-names.ts";

const rules: readonly ContradictionRule[] = [
    new SingleOwnerRule(),
    new NoRetryOfNonIdempotentRule(),
    new ReachableLatencyRule(),
    new KnownFailureDomainsRule(),
    new UniqueNamesRule(),
    new ControlSpreadRule(),
];

/** Returns all contradictions in the answers, in the order of the rules. */
export function findContradictions(answers: Questionnaire): Contradiction[] {
    return rules.flatMap(rule => rule.check(answers));
}
