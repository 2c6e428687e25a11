import { z } from "zod";

/** A crash of an endpoint as one ingress saw it. */
export const crashReportSchema = z.object({
    endpoint: z.string(),
    /** Start of the lifetime that ended, if it is known. */
    startedAt: z.number().optional(),
    /** Age of the crash when the message was sent, in milliseconds. */
    ageMs: z.number(),
    /** Parts of the prompts whose answers had not begun, without the last part of each. */
    parts: z.array(z.string()),
    /**
     * Requests whose answers had not begun, with the indices of their parts in `parts`. Ingresses of an earlier version
     * name no requests.
     */
    requests: z.array(z.object({ id: z.string(), parts: z.array(z.int().nonnegative()) })).default([]),
});
export type CrashReport = z.infer<typeof crashReportSchema>;

/** A suspect that crashes endpoints, with the evidence. */
export const blockedPartSchema = z.object({
    /** Key of the suspect: a prompt part or a request. */
    part: z.string(),
    /** Endpoints that crashed while a request with the suspect was waiting for its answer to begin. */
    endpoints: z.array(z.string()),
});
export type BlockedPart = z.infer<typeof blockedPartSchema>;

const requestKeyPrefix = "request:";

/** Returns the key of a whole request as a suspect; keys of prompt parts are their ids, which hold no colon. */
export function requestKey(fingerprint: string): string {
    return requestKeyPrefix + fingerprint;
}

/** Whether a suspect is a whole request and not a part of prompts. */
export function isRequestKey(key: string): boolean {
    return key.startsWith(requestKeyPrefix);
}

/** Returns the ids of the parts of a prompt that other prompts can share: all but the last. */
export function sharedParts(parts: readonly { id: string; }[]): string[] {
    return parts.slice(0, -1).map(({ id }) => id).filter(id => !id.includes(":"));
}

/** What identifies one request in the evidence: its own key and the prompt parts that others can share. */
export interface RequestSuspects {
    request: string;
    parts: readonly string[];
}

/** Returns the keys of all suspects that a request carries. */
export function suspectKeys({ request, parts }: RequestSuspects): string[] {
    return [request, ...parts];
}

/** Time for which a crash counts as evidence, in milliseconds. */
export const crashEvidenceMs = 60_000;
/** Number of crashes from which a request is suspected. */
export const suspectedRequestCrashes = 2;
/** Number of crashes that accuse a request. */
export const accusingRequestCrashes = 3;
