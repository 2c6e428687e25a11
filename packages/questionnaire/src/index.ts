/** Questionnaire schema, contradictions and configuration generation. */
export type { Contradiction } from "./contradiction.ts";
export * from "./describe-difference.ts";
export * from "./find-contradictions.ts";
export * from "./generate-configuration.ts";
export * from "./questionnaire-schema.ts";
