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
