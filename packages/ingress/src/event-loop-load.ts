import { BusyState } from "@lentilramp/fleet";
import type { Clock, EventLog } from "@lentilramp/runtime";
import { type EventLoopUtilization, performance } from "node:perf_hooks";

/** Measures how busy the event loop of this process is. */
export class EventLoopLoad {
    private readonly state = new BusyState();
    private last: EventLoopUtilization = performance.eventLoopUtilization();
    private lastAt: number;

    constructor(private readonly clock: Clock, private readonly log: EventLog) {
        this.lastAt = clock.now();
    }

    /** Whether the process was busy when it was last asked. */
    get wasBusy(): boolean {
        return this.state.isBusy;
    }

    /** Whether the process is busy; called with each sync. */
    isBusyNow(): boolean {
        const now = this.clock.now();
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, this.last);
        const before = this.state.isBusy;
        const busy = this.state.observe(utilization, this.lastAt, now);
        if (busy !== before) {
            this.log.info(busy ? "ingress.busy" : "ingress.not-busy", { utilization });
        }
        this.last = current;
        this.lastAt = now;
        return busy;
    }
}
