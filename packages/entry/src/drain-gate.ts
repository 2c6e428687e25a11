import { Component } from "@lentilramp/runtime";
import type { AtMostOnceCaller } from "./at-most-once-caller.ts";
import type { RequestGate } from "./request-gate.ts";

/** First to drain: refuses new requests, so that those in progress can end, and lets their outcomes be stored. */
export class DrainGate extends Component {
    readonly name = "drain-gate";

    constructor(private readonly gate: RequestGate, private readonly once: AtMostOnceCaller) {
        super();
    }

    override async drain(): Promise<void> {
        this.gate.startDraining();
        await this.once.waitForStoredOutcomes();
    }

    override async close(): Promise<void> {
        await this.once.waitForStoredOutcomes();
    }
}
