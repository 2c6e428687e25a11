import { type OriginAnswer, originAnswerSchema } from "@lentilramp/exchange";
import type { PeerAddress, RpcClient } from "@lentilramp/protocol";
import type { Clock, EventLog } from "@lentilramp/runtime";

/** Time within which a steward has to answer, in milliseconds; a caller waits for it. */
const callTimeoutMs = 300;
/** Stewards that are asked for the same streams: the leader, and one that has copied from it. */
const maxAsked = 2;
/** Largest number of streams in one call. */
const maxKeys = 1_000;

interface WaitingLookup {
    key: string;
    services: readonly string[];
    resolve: (answer: OriginAnswer | undefined) => void;
}

/**
 * Asks the stewards where streams began that callers take up here. While a call is in progress, the next ones gather, so
 * that the many take-ups after a loss of ingresses cost few calls.
 */
export class OriginLookup {
    private waiting: WaitingLookup[] = [];
    private isAsking = false;

    constructor(
        private readonly client: RpcClient,
        /** Returns the stewards, the leader first. */
        private readonly stewards: () => readonly PeerAddress[],
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    /**
     * Resolves with what the stewards know of the stream `key` and of the versions of `services`; undefined if none has
     * answered.
     */
    find(key: string, services: readonly string[]): Promise<OriginAnswer | undefined> {
        return new Promise(resolve => {
            this.waiting.push({ key, services, resolve });
            void this.askForWaiting();
        });
    }

    private async askForWaiting(): Promise<void> {
        if (this.isAsking) {
            return;
        }
        this.isAsking = true;
        while (this.waiting.length > 0) {
            const batch = this.waiting.splice(0, maxKeys);
            const answer = await this.ask(batch);
            batch.forEach(({ resolve }) => resolve(answer));
        }
        this.isAsking = false;
    }

    private async ask(batch: readonly WaitingLookup[]): Promise<OriginAnswer | undefined> {
        const params = {
            keys: [...new Set(batch.map(({ key }) => key))],
            services: [...new Set(batch.flatMap(({ services }) => services))],
        };
        let copied: OriginAnswer | undefined;
        for (const steward of this.stewards().slice(0, maxAsked)) {
            try {
                const deadline = this.clock.now() + callTimeoutMs;
                const answer = await this.client.call(steward, "fleet.origins", params, originAnswerSchema, deadline);
                if (answer.leading) {
                    return answer;
                }
                copied ??= answer;
            }
            catch (err) {
                this.log.info("origins.not-known", { steward: `${steward.host}:${steward.port}`, reason: String(err) });
            }
        }
        return copied;
    }
}
