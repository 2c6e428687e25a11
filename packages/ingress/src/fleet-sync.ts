import { type SyncAnswer, syncAnswerSchema, type SyncRequest } from "@lentilramp/exchange";
import { earlySyncIntervalMs, syncIntervalMs } from "@lentilramp/fleet";
import type { PeerAddress, RpcClient } from "@lentilramp/protocol";
import { type Clock, type EventLog, PeriodicComponent, type RandomSource } from "@lentilramp/runtime";

/** Time after which an unanswered sync goes to the next steward, in milliseconds. */
const callTimeoutMs = 600;
/**
 * Longest such time, in milliseconds. It doubles with each timeout at a steward that others name as the leader: one
 * that is overloaded may answer later, and must not be asked for the same again and again. Other stewards that do not
 * answer are down.
 */
const maxCallTimeoutMs = 2_400;
/** Pause after a failed sync, in milliseconds. */
const failurePauseMs = 50;

function addressKey({ host, port }: PeerAddress): string {
    return `${host}:${port}`;
}

/**
 * Syncs periodically with the leading steward. Follows the leader's address in the answers of other stewards, and goes
 * to the next steward when one does not answer.
 */
export class FleetSync extends PeriodicComponent {
    readonly name = "fleet-link";
    private stewards: PeerAddress[] = [];
    private currentSteward: PeerAddress | undefined;
    private lastSyncFailed = false;
    private foundNoLeader = false;
    private connected: boolean | undefined;
    private lastAnswerAt: number;
    private lastSentAt = -Infinity;
    /** The leader that another steward has named, and the call timeout for it. */
    private named: { leader: string; timeoutMs: number; } | undefined;
    private plannedAt: number | undefined;
    private lateMs = 0;
    private timeoutLateMs = 0;
    /** Interval after which the next sync is wanted, in milliseconds; undefined for the usual one. */
    private wantedIntervalMs: number | undefined;

    constructor(
        private readonly client: RpcClient,
        /** Returns the stewards of the settings; called on each use because the settings can change at run time. */
        private readonly seeds: () => readonly PeerAddress[],
        private readonly buildRequest: (elapsedMs: number) => Omit<SyncRequest, "waitMs">,
        private readonly onAnswer: (answer: SyncAnswer, req: SyncRequest, sentAt: number) => void,
        /** Returns the number of ingresses; the sync interval grows with it to bound the load on the leader. */
        private readonly memberCount: () => number,
        clock: Clock,
        private readonly random: RandomSource,
        private readonly log: EventLog,
    ) {
        super(clock, syncIntervalMs(1));
        this.lastAnswerAt = clock.now();
    }

    /** Instant at which the last sync that a leading steward answered was sent. */
    get answeredAt(): number {
        return this.lastAnswerAt;
    }

    /**
     * Time by which the last sync started or timed out after its planned instant, in milliseconds, whichever is later;
     * long when the process is busy.
     */
    get startDelayMs(): number {
        return this.lateMs;
    }

    /** Whether a sync since the start has failed, or has gone to a steward that knew no leader. */
    get hasFoundNoLeader(): boolean {
        return this.foundNoLeader;
    }

    /** Instant at which the next sync is due; Infinity while one is in progress. */
    get nextSyncAt(): number {
        return this.plannedAt ?? Infinity;
    }

    /** The stewards that are known, the one of the last sync first. */
    get knownStewards(): readonly PeerAddress[] {
        const { currentSteward } = this;
        const others = this.stewards.filter(address =>
            currentSteward === undefined || addressKey(address) !== addressKey(currentSteward)
        );
        return currentSteward === undefined ? others : [currentSteward, ...others];
    }

    /** Asks for a sync before its usual time, `intervalMs` milliseconds after the last one. */
    requestSync(intervalMs = earlySyncIntervalMs(this.memberCount())): void {
        if (intervalMs < (this.wantedIntervalMs ?? syncIntervalMs(this.memberCount()))) {
            this.wantedIntervalMs = intervalMs;
            this.bringForward(this.lastSentAt + intervalMs);
        }
    }

    protected override nextDelayMs(): number {
        const delayMs = this.delayToNextMs();
        this.plannedAt = this.clock.now() + delayMs;
        return delayMs;
    }

    private delayToNextMs(): number {
        if (this.lastSentAt === -Infinity) {
            // Without a sync the process has no catalog and refuses every request.
            return 0;
        }
        if (this.lastSyncFailed) {
            return failurePauseMs;
        }
        return this.wantedIntervalMs === undefined
            ? syncIntervalMs(this.memberCount())
            : Math.max(0, this.lastSentAt + this.wantedIntervalMs - this.clock.now());
    }

    protected override async runOnce(): Promise<void> {
        this.lastSyncFailed = true;
        const steward = this.currentSteward ?? this.nextSteward(undefined);
        if (steward === undefined) {
            return;
        }
        const sentAt = this.clock.now();
        this.lateMs = Math.max(this.timeoutLateMs, sentAt - (this.plannedAt ?? sentAt), 0);
        this.timeoutLateMs = 0;
        this.plannedAt = undefined;
        this.lastSentAt = sentAt;
        this.wantedIntervalMs = undefined;
        const key = addressKey(steward);
        const timeoutMs = this.named?.leader === key ? this.named.timeoutMs : callTimeoutMs;
        const req = { ...this.buildRequest(sentAt - this.lastAnswerAt), waitMs: timeoutMs };
        try {
            const answer = await this.client.call(steward, "fleet.sync", req, syncAnswerSchema, sentAt + timeoutMs);
            if (this.named?.leader === key) {
                this.named = undefined;
            }
            if (answer.stewards.length > 0) {
                this.stewards = answer.stewards;
            }
            this.onAnswer(answer, req, sentAt);
            if (answer.leading) {
                this.lastAnswerAt = sentAt;
                this.currentSteward = steward;
                this.lastSyncFailed = false;
                this.recordConnection(true, steward);
            }
            else {
                const hint = answer.leader;
                this.foundNoLeader ||= hint === undefined;
                if (hint !== undefined && this.named?.leader !== addressKey(hint)) {
                    this.named = { leader: addressKey(hint), timeoutMs: callTimeoutMs };
                }
                this.currentSteward = hint !== undefined && addressKey(hint) !== addressKey(steward)
                    ? hint
                    : this.nextSteward(steward);
            }
        }
        catch (err) {
            this.foundNoLeader = true;
            this.timeoutLateMs = Math.max(0, this.clock.now() - sentAt - timeoutMs);
            if (this.named?.leader === key && this.clock.now() >= sentAt + timeoutMs) {
                this.named.timeoutMs = Math.min(maxCallTimeoutMs, timeoutMs * 2);
            }
            this.recordConnection(false, steward, String(err));
            this.currentSteward = this.nextSteward(steward);
        }
    }

    protected override onFailure(err: unknown): void {
        this.log.error("fleet.sync-broken", { error: String(err) });
    }

    private recordConnection(connected: boolean, steward: PeerAddress, reason?: string): void {
        if (this.connected !== connected) {
            this.connected = connected;
            this.log.info(connected ? "steward.regained" : "steward.lost", { steward: addressKey(steward), reason });
        }
    }

    /** Returns the known steward after `current`, or a random one when `current` is undefined. */
    private nextSteward(current: PeerAddress | undefined): PeerAddress | undefined {
        const known = new Map([...this.stewards, ...this.seeds()].map(address => [addressKey(address), address]));
        const keys = [...known.keys()];
        const index = current === undefined ? -1 : keys.indexOf(addressKey(current));
        const next = current === undefined
            ? keys[this.random.nextInt(keys.length)]
            : keys[(index + 1) % keys.length];
        return next === undefined ? undefined : known.get(next);
    }
}
