import { AgreementNode, applyWrite, type Effect, foundingState, type Input } from "@lentilramp/agreement";

const members = ["a", "b", "c"].map(id => ({ id, address: `host-${id}` }));
const group = new Map<string, Member>();
let now = 0; // A real caller uses a monotonic clock and steps with a tick at `node.nextTickAt`.

/** One member with storage and transport in memory; a real caller syncs a file and sends over a connection. */
class Member {
    readonly applied: string[] = [];
    private stored = foundingState(members);
    private readonly node: AgreementNode;

    constructor(id: string) {
        this.node = new AgreementNode({ id, stored: this.stored, random: Math.random, now });
        this.node.start().forEach(effect => this.perform(effect));
    }

    step(input: Input): void {
        this.node.step(input, now).forEach(effect => this.perform(effect));
    }

    private perform(effect: Effect): void {
        if (effect.type === "save-state" || effect.type === "append" || effect.type === "save-snapshot") {
            this.stored = applyWrite(this.stored, effect);
        }
        else if (effect.type === "sync") {
            setImmediate(() => this.step({ type: "synced", sequence: effect.sequence }));
        }
        else if (effect.type === "send") {
            const { message } = effect;
            setImmediate(() => group.get(message.to)?.step({ type: "message", message }));
        }
        else if (effect.type === "apply") {
            const contents = effect.entries.map(entry => entry.content);
            this.applied.push(...contents.flatMap(c => c.kind === "command" ? [c.command] : []));
        }
    }
}

export async function runExample(): Promise<string[] | undefined> {
    members.forEach(({ id }) => group.set(id, new Member(id)));
    now = 800; // The longest election timeout has passed, so the first member to tick campaigns.
    group.get("a")?.step({ type: "tick" });
    await new Promise(resolve => setTimeout(resolve, 50));
    group.get("a")?.step({ type: "propose", id: "op-1", command: "x=1" });
    await new Promise(resolve => setTimeout(resolve, 50));
    return group.get("a")?.applied;
}
