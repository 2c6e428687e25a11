/**
 * Explicit-state model checker and the protocol specification.
 */
export { models, type Mutation, mutations } from "./catalogue.ts";
export { type Exploration, explore, Model, type Step } from "./explorer.ts";
export { HashSet, hashText, joinHashes } from "./hash.ts";
export { describeEntry, History, InvariantViolation } from "./history.ts";
export { randomSchedule, randomStep, runSchedule, type ScheduleStep } from "./schedule.ts";
export { defaultSimulationSettings, Host, Simulation, type SimulationSettings } from "./simulation.ts";
