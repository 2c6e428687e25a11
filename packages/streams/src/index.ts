/**
 * Stream assembly, resumption, detection of silent connections and reclaim planning.
 */
export * from "./answer-length-model.ts";
export * from "./budgeted-reclaim.ts";
export * from "./classify-probe-answer.ts";
export * from "./export-all-reclaim.ts";
export * from "./export-failure.ts";
export * from "./observed-length-model.ts";
export * from "./precopy-after-notice.ts";
export * from "./precopy-policy.ts";
export * from "./reclaim-policy.ts";
export * from "./recompute-all-reclaim.ts";
export * from "./restart-from-zero.ts";
export * from "./resume-from-prefix.ts";
export * from "./resume-policy.ts";
export * from "./silence-detector.ts";
export * from "./silence-options.ts";
export * from "./stream-assembler.ts";
