/** Settings of one run of the reclaim experiment. */
export interface ReclaimSettings {
    enginesPerDomain: number;
    /** Streams that an engine decodes at the same time. */
    slots: number;
    stepMs: number;
    prefillTokensPerSecond: number;
    stepTokenBudget: number;
    /** Share of the slots of all three failure domains that are busy in the mean. */
    load: number;
    kvBytesPerToken: number;
    /** Rate at which one engine exports, and at which one engine imports. */
    exportBytesPerSecond: number;
    /** Share of that rate that copies before a notice may use. */
    precopyShare: number;
    /** One-way delay between an engine and its entry. */
    linkDelayMs: number;
    noticeMs: number;
    firstNoticeAt: number;
    secondNoticeAt: number;
    /** Share of the engines of the second failure domain that the second wave takes. */
    secondWaveShare: number;
    /** Time from the first notice until the replacement of each reclaimed engine serves. */
    replacementMs: number;
    arrivalsEndAt: number;
    /** Time that each stream has for its whole answer. */
    streamDeadlineMs: number;
    exportCutRate: number;
    importRefusalRate: number;
}

/**
 * An engine with 8 key-value heads of 128 elements in 32 layers and two bytes an element holds 128 KiB a token. Of a
 * network interface of 10 Gbit/s, 60% is taken as usable between failure domains.
 */
export const nominalReclaimSettings: ReclaimSettings = {
    enginesPerDomain: 4,
    slots: 32,
    stepMs: 20,
    prefillTokensPerSecond: 20_000,
    stepTokenBudget: 512,
    load: 0.7,
    kvBytesPerToken: 131_072,
    exportBytesPerSecond: 750e6,
    precopyShare: 0.5,
    linkDelayMs: 4,
    noticeMs: 5_000,
    firstNoticeAt: 40_000,
    secondNoticeAt: 52_000,
    secondWaveShare: 0.5,
    replacementMs: 30_000,
    arrivalsEndAt: 90_000,
    streamDeadlineMs: 180_000,
    exportCutRate: 0.03,
    importRefusalRate: 0.03,
};

export const workspaces = 5;
export const workspacePrefixTokens = 600;
/** The prefix cache holds complete blocks of 16 tokens. */
export const cachedPrefixTokens = 592;
export const ownPromptTokens = { min: 100, max: 2_500 };
export const answerBound = { min: 200, max: 1_600 };
/** The answer has this share of its bound at least; the plan knows only the bound. */
export const shortestAnswerShare = 0.4;
