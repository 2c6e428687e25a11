import type { Endpoint } from "@lentilramp/fleet";
import type { Clock, EventLog, RandomSource } from "@lentilramp/runtime";
import { connect } from "node:net";

/** Endpoints that have to fail within this time, in milliseconds, before the paths to them are tested. */
const suspectedEndpoints = 3;
const failureWindowMs = 2_000;
/** Shortest time between two tests that find the paths sound, in milliseconds. */
const retestMs = 1_000;
/** Endpoints to which a test opens a connection. */
const testedEndpoints = 2;
/** Time for a connection to open, and then to stay open, in milliseconds. */
const openMs = 250;
const stayOpenMs = 100;
/** Pause between two tests while no endpoint is reached, in milliseconds. */
const testIntervalMs = 400;

/**
 * Finds out whether this process has lost its paths to all endpoints. Requests alone do not tell that from endpoints that
 * are down or silent, and connections that are open may live on when no new one can be opened. So new connections are
 * tested once several endpoints have failed.
 */
export class ReachMonitor {
    /** Endpoints that have failed, with the instant of the last failure. */
    private readonly failed = new Map<string, number>();
    private testedAt = -Infinity;
    private cutOff = false;
    private isTesting = false;
    private isClosed = false;

    constructor(
        private readonly endpoints: () => readonly Endpoint[],
        /** Called when the paths have been lost, or are back. */
        private readonly onChange: () => void,
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly log: EventLog,
    ) {}

    /** Whether no endpoint can be reached from here. */
    get isCutOff(): boolean {
        return this.cutOff;
    }

    /** Records that nothing came from an endpoint to which a request was sent, or was to be sent. */
    recordUnreached(endpoint: string): void {
        const now = this.clock.now();
        this.failed.set(endpoint, now);
        if (this.isTesting || now - this.testedAt < retestMs) {
            return;
        }
        const recent = [...this.failed.values()].filter(at => now - at <= failureWindowMs).length;
        if (recent >= Math.min(suspectedEndpoints, this.ready.length)) {
            this.isTesting = true;
            void this.test();
        }
    }

    close(): void {
        this.isClosed = true;
    }

    private get ready(): readonly Endpoint[] {
        return this.endpoints().filter(({ ready }) => ready);
    }

    private async test(): Promise<void> {
        do {
            const tested = this.random.sample(this.ready, Math.min(testedEndpoints, this.ready.length));
            const reached = await Promise.all(tested.map(endpoint => this.reaches(endpoint)));
            this.setCutOff(tested.length > 0 && !reached.some(Boolean));
            if (this.cutOff) {
                await this.clock.sleepUntil(this.clock.now() + testIntervalMs);
            }
        }
        while (this.cutOff && !this.isClosed);
        this.failed.clear();
        this.testedAt = this.clock.now();
        this.isTesting = false;
    }

    private setCutOff(cutOff: boolean): void {
        if (cutOff !== this.cutOff) {
            this.cutOff = cutOff;
            this.log.warn(cutOff ? "endpoints.unreachable" : "endpoints.reachable", { endpoints: this.ready.length });
            this.onChange();
        }
    }

    /** Resolves with whether a connection opens and is not closed at once. */
    private reaches({ host, port }: Endpoint): Promise<boolean> {
        return new Promise(resolve => {
            const socket = connect({ host, port });
            const settle = (reached: boolean): void => {
                timer.cancel();
                socket.destroy();
                resolve(reached);
            };
            let opened = false;
            // Timers run before sockets are read: after a pause of this process, the connection may be open already.
            let timer = this.clock.schedule(
                this.clock.now() + openMs,
                () => setImmediate(() => opened || settle(false)),
            );
            socket.once("connect", () => {
                opened = true;
                timer.cancel();
                timer = this.clock.schedule(this.clock.now() + stayOpenMs, () => settle(true));
            });
            socket.once("error", () => settle(false));
            socket.once("close", () => settle(false));
        });
    }
}
