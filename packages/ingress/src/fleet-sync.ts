import { syncIntervalMs } from "@lentilramp/fleet";
import type { PeerAddress, RpcClient } from "@lentilramp/protocol";
import { type Clock, type EventLog, PeriodicComponent, type RandomSource } from "@lentilramp/runtime";
import { type SyncAnswer, syncAnswerSchema, type SyncRequest } from "./fleet-messages.ts";

/** A steward that has not answered by then is passed over. */
const callMs = 600;
/** Pause after a failed sync. */
const failurePauseMs = 50;

function addressKey({ host, port }: PeerAddress): string {
    return `${host}:${port}`;
}

/** Keeps the exchange with the leading steward going: follows its hints and passes over those that do not answer. */
export class FleetSync extends PeriodicComponent {
    readonly name = "fleet-link";
    private stewards: PeerAddress[] = [];
    private target: PeerAddress | undefined;
    private failed = false;
    private connected: boolean | undefined;
    private lastAnswerAt: number;

    constructor(
        private readonly client: RpcClient,
        /** Stewards named by the settings; read again on each use because the settings can change. */
        private readonly seeds: () => readonly PeerAddress[],
        private readonly request: (elapsedMs: number) => SyncRequest,
        private readonly onAnswer: (answer: SyncAnswer, sentAt: number) => void,
        /** Ingresses among which the leader's time is shared. */
        private readonly members: () => number,
        clock: Clock,
        private readonly random: RandomSource,
        private readonly log: EventLog,
    ) {
        super(clock, syncIntervalMs(1));
        this.lastAnswerAt = clock.now();
    }

    /** Instant of the last answer of a leading steward. */
    get answeredAt(): number {
        return this.lastAnswerAt;
    }

    protected override nextDelayMs(): number {
        return this.failed ? failurePauseMs : syncIntervalMs(this.members());
    }

    protected override async runOnce(): Promise<void> {
        this.failed = true;
        const target = this.target ?? this.nextTarget(undefined);
        if (target === undefined) {
            return;
        }
        const sentAt = this.clock.now();
        const req = this.request(sentAt - this.lastAnswerAt);
        try {
            const answer = await this.client.call(target, "fleet.sync", req, syncAnswerSchema, sentAt + callMs);
            if (answer.stewards.length > 0) {
                this.stewards = answer.stewards;
            }
            this.onAnswer(answer, sentAt);
            if (answer.leading) {
                this.lastAnswerAt = sentAt;
                this.target = target;
                this.failed = false;
                this.note(true, target);
            }
            else {
                const hint = answer.leader;
                this.target = hint !== undefined && addressKey(hint) !== addressKey(target)
                    ? hint
                    : this.nextTarget(target);
            }
        }
        catch (err) {
            this.note(false, target, String(err));
            this.target = this.nextTarget(target);
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.error("fleet.sync-broken", { error: String(err) });
    }

    private note(connected: boolean, target: PeerAddress, reason?: string): void {
        if (this.connected !== connected) {
            this.connected = connected;
            this.log.info(connected ? "steward.regained" : "steward.lost", { steward: addressKey(target), reason });
        }
    }

    /** The steward after `current` among all that are known. */
    private nextTarget(current: PeerAddress | undefined): PeerAddress | undefined {
        const known = new Map([...this.stewards, ...this.seeds()].map(address => [addressKey(address), address]));
        const keys = [...known.keys()];
        const index = current === undefined ? -1 : keys.indexOf(addressKey(current));
        const next = current === undefined
            ? keys[this.random.nextInt(keys.length)]
            : keys[(index + 1) % keys.length];
        return next === undefined ? undefined : known.get(next);
    }
}
