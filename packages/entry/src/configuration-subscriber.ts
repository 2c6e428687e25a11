import { ConfigurationView, maxSubscriptionWaitMs, SendPermit, subscribeAnswerSchema } from "@lentilramp/configuration";
import { type PeerAddress, type RpcClient, RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog } from "@lentilramp/runtime";
import { z } from "zod";

/** Time allowed for an answer beyond `subscriptionWaitMs`, for which the publisher may delay the answer. */
const answerMarginMs = 200;
const retryMs = 50;
/** Largest difference between the wall clocks of entry and control at which calls with a key are accepted. */
export const maxClockDifferenceMs = 5_000;

const redirectSchema = z.object({ leader: z.object({ host: z.string(), port: z.int() }) });

/** Keeps the current configuration and the send permit up to date by subscribing at the leader of the control group. */
export class ConfigurationSubscriber extends Component {
    readonly name = "configuration-subscriber";
    readonly view = new ConfigurationView();
    readonly permit = new SendPermit();
    private readonly listeners: (() => void)[] = [];
    private peer: PeerAddress;
    private memberIndex = 0;
    private running = false;
    private loop: Promise<void> | undefined;
    private clockDifferenceMs = 0;
    private hadPermit = false;

    constructor(
        private readonly members: readonly PeerAddress[],
        private readonly client: RpcClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {
        super();
        this.peer = this.members[0] as PeerAddress;
    }

    /** Registers a listener that is called after each change of the configuration. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Whether the wall clock of this entry is close enough to that of control to check the issue times of keys. */
    get isClockWithinTolerance(): boolean {
        return Math.abs(this.clockDifferenceMs) <= maxClockDifferenceMs;
    }

    mayDispatch(now: number): boolean {
        return this.permit.isValid(now);
    }

    override async start(): Promise<void> {
        this.running = true;
        this.loop = this.run();
    }

    override async close(): Promise<void> {
        this.running = false;
        await this.loop;
    }

    private async run(): Promise<void> {
        while (this.running) {
            try {
                await this.subscribeOnce();
            }
            catch (err) {
                this.selectNextPeer(err);
                await this.clock.sleepUntil(this.clock.now() + retryMs);
            }
            this.logPermitChange();
        }
    }

    private async subscribeOnce(): Promise<void> {
        const sentAt = this.clock.now();
        const deadline = sentAt + maxSubscriptionWaitMs + answerMarginMs;
        const answer = await this.client.call(
            this.peer,
            "configuration.subscribe",
            this.view.request(),
            subscribeAnswerSchema,
            deadline,
        );
        this.clockDifferenceMs = answer.controlTime - this.clock.now();
        const accepted = this.view.accept(answer);
        if (accepted.isErr()) {
            this.log.warn("configuration.answer-refused", {
                reason: accepted.error.kind,
                message: accepted.error.message,
            });
            await this.clock.sleepUntil(this.clock.now() + retryMs);
            return;
        }
        if (answer.permitMs !== undefined) {
            this.permit.renew({ sentAt, permitMs: answer.permitMs, version: answer.version }, this.view.version);
        }
        if (accepted.value.changed) {
            this.log.info("configuration.in-force", { version: accepted.value.version });
            this.listeners.forEach(listener => listener());
        }
    }

    /** Selects the leader named in a not-leader error, or else the next member. */
    private selectNextPeer(err: unknown): void {
        const redirect = err instanceof RpcError && err.code === rpcErrorCodes.notLeader
            ? redirectSchema.safeParse(err.data)
            : undefined;
        if (redirect?.success === true) {
            this.peer = redirect.data.leader;
            return;
        }
        this.memberIndex = (this.memberIndex + 1) % this.members.length;
        this.peer = this.members[this.memberIndex] as PeerAddress;
        this.log.debug("configuration.subscription-failed", { error: String(err) });
    }

    private logPermitChange(): void {
        const valid = this.permit.isValid(this.clock.now());
        if (valid !== this.hadPermit) {
            this.hadPermit = valid;
            this.log.write(valid ? "info" : "warn", valid ? "permit.granted" : "permit.expired", {
                version: this.view.version,
            });
        }
    }
}
