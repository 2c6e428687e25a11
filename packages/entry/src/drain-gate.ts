import { Component } from "@lentilramp/runtime";
import type { OnceCaller } from "./once-call.ts";
import type { RequestGate } from "./request-gate.ts";

/** First to drain: refuses new requests, so that those in progress can end, and lets their outcomes be stored. */
export class DrainGate extends Component {
    readonly name = "drain-gate";

    constructor(private readonly gate: RequestGate, private readonly once: OnceCaller) {
        super();
    }

    override async drain(): Promise<void> {
        this.gate.startDraining();
        await this.once.settled();
    }

    override async close(): Promise<void> {
        await this.once.settled();
    }
}
