import { Component } from "@lentilramp/runtime";
import type { AtMostOnceCaller } from "./at-most-once-caller.ts";
import type { RequestGate } from "./request-gate.ts";

/**
 * Component that drains before the others: it refuses new requests, so that those in progress can complete, and waits
 * until the outcomes of calls are stored.
 */
export class DrainGate extends Component {
    readonly name = "drain-gate";

    constructor(private readonly gate: RequestGate, private readonly atMostOnce: AtMostOnceCaller) {
        super();
    }

    override async drain(): Promise<void> {
        this.gate.startDraining();
        await this.atMostOnce.waitForStoredOutcomes();
    }

    override async close(): Promise<void> {
        await this.atMostOnce.waitForStoredOutcomes();
    }
}
