import { ManualClock, PeriodicComponent } from "@lentilramp/runtime";
import { expect } from "chai";

class CountingComponent extends PeriodicComponent {
    readonly name = "counter";

    advance(timeMs: number): void {
        this.bringForward(timeMs);
    }

    runs = 0;
    failures = 0;

    protected override async runOnce(): Promise<void> {
        this.runs++;
        if (this.runs === 2) {
            throw new Error("second run");
        }
    }

    protected override onFailure(): void {
        this.failures++;
    }
}

async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

describe("PeriodicComponent", () => {
    // Guards against a task that stops for good after one failure, or that continues after the close.
    it("continues after a failed run and stops at the close", async () => {
        const clock = new ManualClock(0);
        const counter = new CountingComponent(clock, 10);
        await counter.start();
        for (const timeMs of [10, 20, 30]) {
            clock.advanceTo(timeMs);
            await settle();
        }
        expect([counter.runs, counter.failures]).to.deep.equal([3, 1]);
        await counter.close();
        clock.advanceTo(100);
        await settle();
        expect(counter.runs).to.equal(3);
    });

    // Guards against a second timer, and against a run that is delayed by being asked for.
    it("runs earlier when asked to, once, and not later", async () => {
        const clock = new ManualClock(0);
        const counter = new CountingComponent(clock, 100);
        await counter.start();
        counter.advance(500);
        counter.advance(30);
        counter.advance(40);
        clock.advanceTo(35);
        await settle();
        expect(counter.runs).to.equal(1);
        clock.advanceTo(120);
        await settle();
        expect(counter.runs).to.equal(1);
        clock.advanceTo(136);
        await settle();
        expect(counter.runs).to.equal(2);
        await counter.close();
    });
});
