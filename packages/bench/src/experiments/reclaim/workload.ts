import type { RandomSource } from "@lentilramp/runtime";
import type { ReclaimSettings } from "./reclaim-settings.ts";
import {
    answerBound,
    ownPromptTokens,
    shortestAnswerShare,
    workspacePrefixTokens,
    workspaces,
} from "./reclaim-settings.ts";

/** A request of the workload; it is the same for all variants of a run. */
export interface Arrival {
    id: string;
    at: number;
    workspace: number;
    promptTokens: number;
    maxTokens: number;
    /** Length of the answer, unknown to the policies. */
    actualTokens: number;
}

const mean = (range: { min: number; max: number; }) => (range.min + range.max) / 2;

/** Arrivals per millisecond for which the share `load` of all slots is busy. */
function arrivalRate(settings: ReclaimSettings): number {
    const engines = settings.enginesPerDomain * 3;
    const answerTokens = mean(answerBound) * (1 + shortestAnswerShare) / 2;
    const prefillMs = mean(ownPromptTokens) / settings.prefillTokensPerSecond * 1_000;
    // A step grows by the prefill of the requests that arrive at the engine during it.
    let rate = 0;
    for (let i = 0; i < 50; i++) {
        const prefillShare = rate / engines * prefillMs;
        const stepMs = settings.stepMs / (1 - prefillShare);
        rate = settings.load * engines * settings.slots / (answerTokens * stepMs);
    }
    return rate;
}

export function createWorkload(settings: ReclaimSettings, random: RandomSource): Arrival[] {
    const rate = arrivalRate(settings);
    const between = (range: { min: number; max: number; }) => range.min + random.nextInt(range.max - range.min + 1);
    const arrivals: Arrival[] = [];
    let at = 0;
    for (;;) {
        at += -Math.log(1 - random.next()) / rate;
        if (at > settings.arrivalsEndAt) {
            return arrivals;
        }
        const maxTokens = between(answerBound);
        const share = shortestAnswerShare + random.next() * (1 - shortestAnswerShare);
        arrivals.push({
            id: `s${arrivals.length}`,
            at,
            workspace: random.nextInt(workspaces),
            promptTokens: workspacePrefixTokens + between(ownPromptTokens),
            maxTokens,
            actualTokens: Math.max(1, Math.round(maxTokens * share)),
        });
    }
}
