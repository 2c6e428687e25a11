/**
 * Explicit-state model checker and the protocol specification.
 */
export { History, InvariantViolation } from "./history.ts";
export { randomSchedule, randomStep, runSchedule, type ScheduleStep } from "./schedule.ts";
export { defaultSimulationSettings, Host, Simulation, type SimulationSettings } from "./simulation.ts";
