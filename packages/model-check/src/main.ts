import { cac } from "cac";
import { fullLimits, type Limits, models, type Mutation, mutations, shortLimits } from "./catalogue.ts";
import type { Exploration } from "./explorer.ts";

const usageError = 2;
const mutationLimits: Limits = { maxStates: 3_000_000, maxClaimStates: 3_000_000 };

function summary(name: string, result: Exploration): string {
    const extent = result.complete ? "all states" : "up to the limit";
    const seconds = (result.milliseconds / 1_000).toFixed(1);
    return `${name}: ${result.states} states, depth ${result.depth}, ${seconds} s, ${extent}`;
}

function printViolation(violation: NonNullable<Exploration["violation"]>): void {
    console.log(`violation: ${violation.message}`);
    violation.trace.forEach((label, i) => console.log(`  ${i}. ${label}`));
}

/** Checks all models without mutations; returns the exit status. */
function checkAll(limits: Limits): number {
    let total = 0;
    let seconds = 0;
    for (const model of models) {
        const result = model.run(limits);
        total += result.states;
        seconds += result.milliseconds / 1_000;
        console.log(summary(model.name, result));
        for (const invariant of model.invariants) {
            const broken = result.violation?.invariant === invariant;
            console.log(`  ${broken ? "VIOLATED" : "holds"}  ${invariant}`);
        }
        if (result.violation !== undefined) {
            printViolation(result.violation);
            return 1;
        }
    }
    console.log(`total: ${total} distinct states, ${seconds.toFixed(1)} s, no violation`);
    return 0;
}

/** Succeeds when the checker finds the violation that the missing rule allows. */
function checkMutation(mutation: Mutation): number {
    const result = mutation.run.run(mutationLimits);
    console.log(summary(`${mutation.name} off in ${mutation.run.name}`, result));
    if (result.violation === undefined) {
        console.log("no violation found");
        return 1;
    }
    printViolation(result.violation);
    return 0;
}

function run(options: { short?: boolean; list?: boolean; mutate?: string; }): number {
    if (options.list === true) {
        mutations.forEach(({ name, run }) => console.log(`${name}  (model ${run.name})`));
        return 0;
    }
    if (options.mutate !== undefined) {
        const mutation = mutations.find(({ name }) => name === options.mutate);
        if (mutation === undefined) {
            console.error(`no mutation named ${options.mutate}; --list names them`);
            return usageError;
        }
        return checkMutation(mutation);
    }
    return checkAll(options.short === true ? shortLimits : fullLimits);
}

const cli = cac("npm run check:model --");
cli.command("", "Check the protocol models")
    .option("--short", "Visit fewer states; part of npm test")
    .option("--list", "Name the mutations")
    .option("--mutate <name>", "Turn one rule off; succeeds when a violation is found")
    .action((options: { short?: boolean; list?: boolean; mutate?: string; }) => {
        process.exitCode = run(options);
    });
cli.help();
cli.parse();
