/** Experiments and their targets. */
export * from "./experiment.ts";
export * from "./registry.ts";
