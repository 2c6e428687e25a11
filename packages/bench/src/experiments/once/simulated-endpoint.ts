import type { Clock } from "@lentilramp/runtime";

const sendMs = 1;
const runMs = 20;

export interface Execution {
    body: string;
    answer: string;
}

/** Endpoint that executes each call that it gets, without any check for copies. */
export class SimulatedEndpoint {
    readonly executions: Execution[] = [];

    constructor(private readonly clock: Clock) {}

    /** Dispatch, execution and answer are separate events. */
    call(body: string, answered: (answer: string) => void): void {
        this.clock.schedule(this.clock.now() + sendMs, () => {
            const answer = `answer ${this.executions.length + 1} to ${body}`;
            this.executions.push({ body, answer });
            this.clock.schedule(this.clock.now() + runMs, () => {
                this.clock.schedule(this.clock.now() + sendMs, () => answered(answer));
            });
        });
    }
}
