import { tolerantArray } from "@lentilramp/runtime";
import { z } from "zod";

/** Largest number of services in one report or answer, and of rows or shares of one service. */
export const maxServices = 32;
export const maxRows = 32;
export const maxListedShares = 64;

const rankSchema = z.int().min(0).max(1_000);
const shareSchema = z.number().min(0).max(1);
/** A sum of work over one report; larger values are not possible in its time. */
const amountSchema = z.number().min(0).max(1e12);

/**
 * Work of one rank and workspace: rank, workspace, expected slot time of the arrived requests in milliseconds, prompt
 * tokens of those that are in no engine's cache, expected slot time of the served requests, and the time for which
 * these occupied their slots. The workspace "" stands for requests without one and for those beyond the largest number
 * of rows.
 */
export const workRowSchema = z.tuple([
    rankSchema,
    z.string(),
    amountSchema,
    amountSchema,
    amountSchema,
    amountSchema,
]);
export type WorkRow = z.infer<typeof workRowSchema>;

/** Field `room` in the sync of an ingress: the work since its last sync that the leader answered. */
export const roomReportSchema = z.object({
    /** Time that the report covers, in milliseconds. */
    overMs: z.number().min(0).max(1e9),
    services: z.record(z.string(), tolerantArray(workRowSchema).transform(rows => rows.slice(0, maxRows * 2))),
});
export type RoomReport = z.infer<typeof roomReportSchema>;

/** Part of the arriving requests of one service that may be served. */
export const admissionLevelSchema = z.object({
    /** Rank and admitted share; ranks that are not named are admitted whole. */
    ranks: tolerantArray(z.tuple([rankSchema, shareSchema])),
    /** Rank, workspace and admitted share, where that is lower than the share of the rank. */
    workspaces: tolerantArray(z.tuple([rankSchema, z.string(), shareSchema])),
    /** Time in which the refused work of one second could be served, in milliseconds. */
    clearMs: z.number().min(0).max(1e9),
});
export type AdmissionLevel = z.infer<typeof admissionLevelSchema>;

/** Field `room` in the answer to a sync: the admission levels in force, by service. */
export const admissionLevelsSchema = z.record(z.string(), admissionLevelSchema);
export type AdmissionLevels = z.infer<typeof admissionLevelsSchema>;
