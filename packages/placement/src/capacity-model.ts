/** Model of the number of concurrent requests that an instance serves within a promised latency. */
export abstract class CapacityModel {
    /** Returns the slots of one instance; 0 if the machine class cannot meet the promised token latency. */
    abstract slots(machineClass: string, tokenLatencyMs: number): number;
}

/** Duration of an engine step, as a linear function of the batch size. */
export interface StepTime {
    /** Duration of an engine step with an empty batch, in ms. */
    baseMs: number;
    /** Increase of the duration per request in the batch, in ms. */
    perRequestMs: number;
}

/** Capacity model in which the time between two tokens grows linearly with the engine's batch size. */
export class LinearCapacity extends CapacityModel {
    /** Without `defaultStepTime`, machine classes that are not in `stepTimes` have no slots. */
    constructor(
        private readonly stepTimes: Readonly<Record<string, StepTime>>,
        private readonly defaultStepTime?: StepTime,
    ) {
        super();
    }

    override slots(machineClass: string, tokenLatencyMs: number): number {
        const stepTime = this.stepTimes[machineClass] ?? this.defaultStepTime;
        return stepTime === undefined
            ? 0
            : Math.max(0, Math.floor((tokenLatencyMs - stepTime.baseMs) / stepTime.perRequestMs));
    }
}
