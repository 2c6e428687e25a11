import type { Questionnaire } from "./questionnaire-schema.ts";

/** Answers that cannot all be true, with the path of the answer at fault. */
export interface Contradiction {
    rule: string;
    /** Path of the answer in the questionnaire, `$` for the document. */
    path: string;
    message: string;
}

/** One check on a questionnaire that its schema cannot express. */
export abstract class ContradictionRule {
    abstract readonly name: string;
    abstract check(answers: Questionnaire): Contradiction[];

    protected found(path: string, message: string): Contradiction {
        return { rule: this.name, path, message };
    }
}
