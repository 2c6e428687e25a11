import type { Clock } from "./clock.ts";
import type { EventLog } from "./event-log.ts";

/** Part of a process that the lifecycle manager starts, drains and closes. */
export abstract class Component {
    abstract readonly name: string;

    /** Acquires resources. The component is ready when the promise resolves. */
    async start(): Promise<void> {
        // Nothing to acquire by default.
    }

    /**
     * Stops accepting work and resolves when the work in progress has finished, at the latest at `deadline`, in
     * milliseconds since the epoch.
     */
    async drain(deadline: number): Promise<void> {
        void deadline;
    }

    /** Releases resources. */
    async close(): Promise<void> {
        // Nothing to release by default.
    }
}

/** Thrown when a component does not finish a phase within its time limit. */
export class LifecycleError extends Error {
    constructor(readonly component: string, readonly phase: string, reason: string) {
        super(`${component} failed to ${phase}: ${reason}`);
        this.name = "LifecycleError";
    }
}

export type LifecycleState = "new" | "starting" | "ready" | "draining" | "closed";

/** Time limits of a component for each phase, in milliseconds from the start of the phase. */
export interface LifecycleLimits {
    startMs: number;
    drainMs: number;
    closeMs: number;
}

export const defaultLifecycleLimits: LifecycleLimits = { startMs: 15_000, drainMs: 600_000, closeMs: 5_000 };

/**
 * Starts the components of a process in the order of registration, and drains and closes them in the reverse order. If
 * a component fails to start, those already started are closed.
 */
export class LifecycleManager {
    private readonly components: Component[] = [];
    private startedComponents: Component[] = [];
    /** The component whose start was begun last. */
    private lastStart: { component: Component; started: Promise<void>; } | undefined;
    private stopPromise: Promise<void> | undefined;
    private currentState: LifecycleState = "new";

    constructor(
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly limits: LifecycleLimits = defaultLifecycleLimits,
    ) {}

    get state(): LifecycleState {
        return this.currentState;
    }

    register<T extends Component>(component: T): T {
        this.components.push(component);
        return component;
    }

    /** Starts the components. Resolves without starting the rest of them if the manager is stopped meanwhile. */
    async start(): Promise<void> {
        this.currentState = "starting";
        for (const component of this.components) {
            if (this.stopPromise !== undefined) {
                return;
            }
            this.lastStart = { component, started: this.startComponent(component) };
            try {
                await this.lastStart.started;
            }
            catch (err) {
                if (this.stopPromise === undefined) {
                    await this.closeStarted();
                }
                throw err;
            }
        }
        if (this.stopPromise === undefined) {
            this.currentState = "ready";
            this.log.info("process.ready", { components: this.startedComponents.length });
        }
    }

    /** Drains, then closes all started components. Later calls return the promise of the first call. */
    stop(): Promise<void> {
        this.stopPromise ??= this.drainAndClose();
        return this.stopPromise;
    }

    private async drainAndClose(): Promise<void> {
        this.currentState = "draining";
        this.log.info("process.draining", {});
        const deadline = this.clock.now() + this.limits.drainMs;
        if (this.lastStart !== undefined) {
            const { component, started } = this.lastStart;
            await this.runWithTimeout(component, "start", this.limits.closeMs, () => started).catch(
                (err: unknown) => this.logDrainFailure(component, err),
            );
        }
        for (const component of [...this.startedComponents].reverse()) {
            await this.runWithTimeout(component, "drain", this.limits.drainMs, () => component.drain(deadline)).catch(
                (err: unknown) => this.logDrainFailure(component, err),
            );
        }
        await this.closeStarted();
        this.log.info("process.closed", {});
    }

    private async startComponent(component: Component): Promise<void> {
        await this.runWithTimeout(component, "start", this.limits.startMs, () => component.start());
        this.startedComponents.push(component);
        if (this.currentState === "closed") {
            // The stop has not waited for this component.
            await this.closeStarted();
        }
    }

    private logDrainFailure({ name }: Component, err: unknown): void {
        this.log.warn("process.drain-failed", { component: name, error: String(err) });
    }

    private async closeStarted(): Promise<void> {
        for (const component of this.startedComponents.reverse()) {
            await this.runWithTimeout(component, "close", this.limits.closeMs, () => component.close()).catch(
                (err: unknown) =>
                    this.log.warn("process.close-failed", { component: component.name, error: String(err) }),
            );
        }
        this.startedComponents = [];
        this.currentState = "closed";
    }

    private async runWithTimeout(
        component: Component,
        phase: string,
        timeoutMs: number,
        action: () => Promise<void>,
    ): Promise<void> {
        let cancelTimer: () => void = () => undefined;
        const timedOut = new Promise<never>((resolve, reject) => {
            void resolve;
            const timer = this.clock.schedule(this.clock.now() + timeoutMs, () => {
                reject(new LifecycleError(component.name, phase, `no result within ${timeoutMs} ms`));
            });
            cancelTimer = () => timer.cancel();
        });
        try {
            await Promise.race([action(), timedOut]);
        }
        finally {
            cancelTimer();
        }
    }
}
