import { Component, LifecycleManager, ManualClock, MemoryEventLog } from "@lentilramp/runtime";
import { expect } from "chai";

class RecordingComponent extends Component {
    constructor(readonly name: string, private readonly calls: string[], private readonly failsToStart = false) {
        super();
    }

    override async start(): Promise<void> {
        if (this.failsToStart) {
            throw new Error("port in use");
        }
        this.calls.push(`start ${this.name}`);
    }

    override async drain(): Promise<void> {
        this.calls.push(`drain ${this.name}`);
    }

    override async close(): Promise<void> {
        this.calls.push(`close ${this.name}`);
    }
}

class SlowComponent extends RecordingComponent {
    finishStart: () => void = () => undefined;

    override async start(): Promise<void> {
        await new Promise<void>(resolve => this.finishStart = resolve);
        await super.start();
    }
}

describe("LifecycleManager", () => {
    // Guards against closing a component that others still use while they drain.
    it("drains and closes in the reverse order of start", async () => {
        const calls: string[] = [];
        const manager = new LifecycleManager(new ManualClock(), new MemoryEventLog());
        manager.register(new RecordingComponent("a", calls));
        manager.register(new RecordingComponent("b", calls));
        await manager.start();
        await Promise.all([manager.stop(), manager.stop()]);
        expect(calls).to.deep.equal(["start a", "start b", "drain b", "drain a", "close b", "close a"]);
    });

    // Guards against a process that is told to stop while it starts, and goes on to take requests that its exit cuts off.
    it("starts nothing more after a stop, and closes what was being started", async () => {
        const calls: string[] = [];
        const log = new MemoryEventLog();
        const manager = new LifecycleManager(new ManualClock(), log);
        manager.register(new RecordingComponent("a", calls));
        const slow = manager.register(new SlowComponent("b", calls));
        manager.register(new RecordingComponent("c", calls));
        const started = manager.start();
        await new Promise(resolve => setImmediate(resolve));
        const stopped = manager.stop();
        slow.finishStart();
        await Promise.all([started, stopped, manager.stop()]);
        expect(calls).to.deep.equal(["start a", "start b", "drain b", "drain a", "close b", "close a"]);
        expect(manager.state).to.equal("closed");
        expect(log.events.map(({ name }) => name)).to.deep.equal(["process.draining", "process.closed"]);
    });

    // Guards against a stop that waits for a component which does not finish its start.
    it("drains and closes the other components when one does not finish its start", async () => {
        const calls: string[] = [];
        const clock = new ManualClock();
        const limits = { startMs: 60_000, drainMs: 8_000, closeMs: 1_000 };
        const manager = new LifecycleManager(clock, new MemoryEventLog(), limits);
        manager.register(new RecordingComponent("a", calls));
        const slow = manager.register(new SlowComponent("b", calls));
        const started = manager.start();
        await new Promise(resolve => setImmediate(resolve));
        const stopped = manager.stop();
        clock.advanceTo(limits.closeMs);
        await stopped;
        expect(calls).to.deep.equal(["start a", "drain a", "close a"]);
        slow.finishStart();
        await started;
        expect(calls.slice(3)).to.deep.equal(["start b", "close b"]);
    });

    // Guards against leaking resources of started components when a later one fails to start.
    it("closes started components when a later one fails to start", async () => {
        const calls: string[] = [];
        const manager = new LifecycleManager(new ManualClock(), new MemoryEventLog());
        manager.register(new RecordingComponent("a", calls));
        manager.register(new RecordingComponent("b", calls, true));
        let message = "";
        await manager.start().catch((err: unknown) => message = String(err));
        expect(message).to.contain("port in use");
        expect(calls).to.deep.equal(["start a", "close a"]);
    });
});
