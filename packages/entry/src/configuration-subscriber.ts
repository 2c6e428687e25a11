import { ConfigurationView, maxSubscriptionWaitMs, SendPermit, subscribeAnswerSchema } from "@lentilramp/configuration";
import { type PeerAddress, type RpcClient, RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog } from "@lentilramp/runtime";
import { z } from "zod";

/** Time allowed for an answer beyond the time for which the publisher may hold the request. */
const answerMarginMs = 200;
const retryMs = 50;
/** Largest difference between the wall clocks of entry and control with which calls with a key are accepted. */
export const maxClockDifferenceMs = 5_000;

const redirectSchema = z.object({ leader: z.object({ host: z.string(), port: z.int() }) });

/** Keeps the configuration in force and the send permit by subscribing at the leader of the control group. */
export class ConfigurationSubscriber extends Component {
    readonly name = "configuration-subscriber";
    readonly view = new ConfigurationView();
    readonly permit = new SendPermit();
    private readonly listeners: (() => void)[] = [];
    private target: PeerAddress;
    private next = 0;
    private running = false;
    private loop: Promise<void> | undefined;
    private difference = 0;
    private hadPermit = false;

    constructor(
        private readonly members: readonly PeerAddress[],
        private readonly client: RpcClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {
        super();
        this.target = this.members[0] as PeerAddress;
    }

    /** Runs `listener` after each change of the configuration. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** True when this entry's wall clock is close enough to that of control for the issue times of keys. */
    get isClockWithinTolerance(): boolean {
        return Math.abs(this.difference) <= maxClockDifferenceMs;
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
                this.redirect(err);
                await this.clock.sleepUntil(this.clock.now() + retryMs);
            }
            this.reportPermit();
        }
    }

    private async subscribeOnce(): Promise<void> {
        const sentAt = this.clock.now();
        const deadline = sentAt + maxSubscriptionWaitMs + answerMarginMs;
        const answer = await this.client.call(
            this.target,
            "configuration.subscribe",
            this.view.request(),
            subscribeAnswerSchema,
            deadline,
        );
        this.difference = answer.controlTime - this.clock.now();
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

    /** Follows the leader that a refusal names, else tries the next member. */
    private redirect(err: unknown): void {
        const data = err instanceof RpcError && err.code === rpcErrorCodes.notLeader
            ? redirectSchema.safeParse(err.data)
            : undefined;
        if (data?.success === true) {
            this.target = data.data.leader;
            return;
        }
        this.next = (this.next + 1) % this.members.length;
        this.target = this.members[this.next] as PeerAddress;
        this.log.debug("configuration.subscription-failed", { error: String(err) });
    }

    private reportPermit(): void {
        const valid = this.permit.isValid(this.clock.now());
        if (valid !== this.hadPermit) {
            this.hadPermit = valid;
            this.log.write(valid ? "info" : "warn", valid ? "permit.granted" : "permit.expired", {
                version: this.view.version,
            });
        }
    }
}
