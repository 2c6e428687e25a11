import {
    AgreementNode,
    copyState,
    type Effect,
    type Input,
    type NodeSettings,
    type NodeState,
    type Rule,
} from "@lentilramp/agreement";

/** Production node whose state can be taken out and put back, and whose rules can be turned off. */
export class CheckedNode extends AgreementNode {
    constructor(settings: NodeSettings, private readonly off: readonly Rule[]) {
        super(settings);
    }

    protected override enforces(rule: Rule): boolean {
        return !this.off.includes(rule);
    }

    get currentState(): NodeState {
        return this.state;
    }

    /** Steps from a copy of the given state. */
    stepFrom(
        from: NodeState,
        input: Input,
        now: number,
        adjust: (state: NodeState) => void = () => undefined,
    ): Effect[] {
        this.state = copyState(from);
        adjust(this.state);
        return this.step(input, now);
    }
}
