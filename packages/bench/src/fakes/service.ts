import type { EventQueue } from "./event-queue.ts";

/** State of the failure domain of a fake service. */
export type ServiceState = "up" | "refusing" | "silent";

/** Fake of a plain service: a fixed number of workers and one queue. */
export class FakeService {
    state: ServiceState = "up";
    private readonly queue: (() => void)[] = [];
    private busy = 0;

    constructor(private readonly clock: EventQueue, private readonly workers: number) {}

    /** Serves a call that takes `serviceMs`; a silent service never answers. Returns false when refused. */
    call(serviceMs: number, onEnd: () => void): boolean {
        if (this.state === "refusing") {
            return false;
        }
        if (this.state === "up") {
            this.queue.push(() => {
                this.clock.schedule(this.clock.now() + serviceMs, () => {
                    this.busy--;
                    this.start();
                    onEnd();
                });
            });
            this.start();
        }
        return true;
    }

    private start(): void {
        const next = this.busy < this.workers ? this.queue.shift() : undefined;
        if (next !== undefined) {
            this.busy++;
            next();
        }
    }
}
