/**
 * Embeddable consensus core: leader election, log replication, snapshots, membership change.
 */
export { entryChars } from "./log.ts";
export type { Message } from "./messages.ts";
export { AgreementNode, type NodeSettings } from "./node.ts";
export { type AgreementOptions, defaultAgreementOptions, OptionsError, resolveOptions } from "./options.ts";
export type { Rule } from "./rules.ts";
export { copyState, type NodeState } from "./state.ts";
export { SafetyError } from "./step-context.ts";
export { applyWrite, foundingState, joiningState, StorageRollbackError } from "./stored-state.ts";
export type * from "./types.ts";
