/** Says how many requests an instance serves at once within a promised latency. */
export abstract class CapacityModel {
    /** Returns 0 when the machine class cannot keep the promise. */
    abstract slots(machineClass: string, tokenLatencyMs: number): number;
}

export interface StepTime {
    /** Duration of an engine step with an empty batch, in ms. */
    baseMs: number;
    /** Increase of it for each request in the batch, in ms. */
    perRequestMs: number;
}

/** The time between two tokens grows linearly with the batch of the engine. */
export class LinearCapacity extends CapacityModel {
    /** Without `others`, a class that is not listed serves nothing. */
    constructor(private readonly classes: Readonly<Record<string, StepTime>>, private readonly others?: StepTime) {
        super();
    }

    override slots(machineClass: string, tokenLatencyMs: number): number {
        const step = this.classes[machineClass] ?? this.others;
        return step === undefined ? 0 : Math.max(0, Math.floor((tokenLatencyMs - step.baseMs) / step.perRequestMs));
    }
}
