import type { Questionnaire } from "./questionnaire-schema.ts";

/** Contradiction between answers of a questionnaire. */
export interface Contradiction {
    rule: string;
    /** Path of the answer to correct, in which `$` is the questionnaire. */
    path: string;
    message: string;
}

/** Check of a questionnaire that the schema cannot express. */
export abstract class ContradictionRule {
    abstract readonly name: string;
    abstract check(answers: Questionnaire): Contradiction[];

    protected createContradiction(path: string, message: string): Contradiction {
        return { rule: this.name, path, message };
    }
}
