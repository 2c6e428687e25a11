/** Exit codes of all commands; docs/operations/commands.md documents them. */
export const exitCodes = {
    ok: 0,
    /** The command could not be carried out. */
    failed: 1,
    /** The arguments are wrong. */
    usage: 2,
    /** A document (settings, questionnaire, proposal) is invalid. */
    invalidDocument: 3,
    /** Another change won; generate again. */
    conflict: 4,
    /** The process key was refused. */
    unauthorized: 5,
    /** No answer; the change may or may not have been made. Repeat the command with the same operation id. */
    unknownOutcome: 6,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** An error that ends a command with an exit code and a message for the operator. */
export class CommandError extends Error {
    constructor(readonly exitCode: ExitCode, message: string) {
        super(message);
        this.name = "CommandError";
    }
}
