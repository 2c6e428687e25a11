/**
 * Checksummed files under the data folder.
 */
export * from "./data-folder.ts";
export * from "./errors.ts";
export * from "./file-access.ts";
export * from "./folder-lock.ts";
export type { JournalContents, JournalRecord, TornTail } from "./journal-recovery.ts";
export * from "./journal.ts";
export * from "./metadata-file.ts";
export * from "./node-file-access.ts";
export * from "./process-probe.ts";
