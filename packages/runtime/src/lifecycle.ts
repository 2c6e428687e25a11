import type { Clock } from "./clock.ts";
import type { EventLog } from "./event-log.ts";

/** A part of a process that is started, drained and closed by the life-cycle manager. */
export abstract class Component {
    abstract readonly name: string;

    /** Acquires resources; the component is ready when this resolves. */
    async start(): Promise<void> {
        // Nothing to acquire by default.
    }

    /** Stops taking new work and resolves when the work in progress has ended, at the latest at `deadline`. */
    async drain(deadline: number): Promise<void> {
        void deadline;
    }

    /** Releases resources. */
    async close(): Promise<void> {
        // Nothing to release by default.
    }
}

/** A component did not finish a phase before its deadline, or failed in it. */
export class LifecycleError extends Error {
    constructor(readonly component: string, readonly phase: string, reason: string) {
        super(`${component} failed to ${phase}: ${reason}`);
        this.name = "LifecycleError";
    }
}

export type LifecycleState = "new" | "starting" | "ready" | "draining" | "closed";

/** Time allowed for each phase, in milliseconds from its start. */
export interface LifecycleLimits {
    startMs: number;
    drainMs: number;
    closeMs: number;
}

export const defaultLifecycleLimits: LifecycleLimits = { startMs: 15_000, drainMs: 600_000, closeMs: 5_000 };

/**
 * Owns the components of a process. Starts them in the order of registration, drains and closes them in the
 * reverse order. A component that fails to start closes those already started.
 */
export class LifecycleManager {
    private readonly components: Component[] = [];
    private started: Component[] = [];
    private stopping: Promise<void> | undefined;
    private current: LifecycleState = "new";

    constructor(
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly limits: LifecycleLimits = defaultLifecycleLimits,
    ) {}

    get state(): LifecycleState {
        return this.current;
    }

    register<T extends Component>(component: T): T {
        this.components.push(component);
        return component;
    }

    async start(): Promise<void> {
        this.current = "starting";
        for (const component of this.components) {
            try {
                await this.bounded(component, "start", this.limits.startMs, () => component.start());
                this.started.push(component);
            }
            catch (err) {
                await this.closeStarted();
                throw err;
            }
        }
        this.current = "ready";
        this.log.info("process.ready", { components: this.started.length });
    }

    /** Drains, then closes all components. A second call returns the result of the first. */
    stop(): Promise<void> {
        this.stopping ??= this.drainAndClose();
        return this.stopping;
    }

    private async drainAndClose(): Promise<void> {
        this.current = "draining";
        this.log.info("process.draining", {});
        const deadline = this.clock.now() + this.limits.drainMs;
        for (const component of [...this.started].reverse()) {
            await this.bounded(component, "drain", this.limits.drainMs, () => component.drain(deadline)).catch(
                (err: unknown) =>
                    this.log.warn("process.drain-failed", { component: component.name, error: String(err) }),
            );
        }
        await this.closeStarted();
        this.log.info("process.closed", {});
    }

    private async closeStarted(): Promise<void> {
        for (const component of this.started.reverse()) {
            await this.bounded(component, "close", this.limits.closeMs, () => component.close()).catch(
                (err: unknown) =>
                    this.log.warn("process.close-failed", { component: component.name, error: String(err) }),
            );
        }
        this.started = [];
        this.current = "closed";
    }

    private async bounded(
        component: Component,
        phase: string,
        limitMs: number,
        run: () => Promise<void>,
    ): Promise<void> {
        let cancel: () => void = () => undefined;
        const expired = new Promise<never>((resolve, reject) => {
            void resolve;
            const timer = this.clock.schedule(this.clock.now() + limitMs, () => {
                reject(new LifecycleError(component.name, phase, `no result within ${limitMs} ms`));
            });
            cancel = () => timer.cancel();
        });
        try {
            await Promise.race([run(), expired]);
        }
        finally {
            cancel();
        }
    }
}
