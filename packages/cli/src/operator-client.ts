import { type PeerAddress, ProcessKey, RpcClient, RpcError, rpcErrorCodes } from "@lentilramp/protocol";
import { type Questionnaire, questionnaireSchema } from "@lentilramp/questionnaire";
import { type Clock, SystemClock } from "@lentilramp/runtime";
import { readDocument } from "@lentilramp/settings";
import { join } from "node:path";
import { z } from "zod";
import { CommandError, exitCodes } from "./exit-codes.ts";

const callMs = 2_000;
const leaderSearchMs = 10_000;
const retryMs = 200;
const redirectSchema = z.object({ leader: z.object({ host: z.string(), port: z.int() }) });

export interface ConnectionOptions {
    deployment?: string;
    control?: string;
    key?: string;
}

export interface NamedAddress extends PeerAddress {
    name: string;
}

function parseAddress(text: string): NamedAddress {
    const [, host, port] = /^(.+):(\d+)$/.exec(text.trim()) ?? [];
    if (host === undefined || port === undefined) {
        throw new CommandError(exitCodes.usage, `"${text}" is not HOST:PORT`);
    }
    return { name: text.trim(), host, port: Number(port) };
}

/** Reads and checks the questionnaire of a file; throws a CommandError. */
export function readQuestionnaire(file: string): Questionnaire {
    const answers = readDocument(file, questionnaireSchema);
    if (answers.isErr()) {
        throw new CommandError(exitCodes.invalidDocument, answers.error.message);
    }
    return answers.value;
}

/** Calls the control group and the entries of a deployment on behalf of an operator. */
export class OperatorClient {
    private constructor(
        private readonly client: RpcClient,
        private readonly clock: Clock,
        readonly control: readonly NamedAddress[],
        readonly entries: readonly NamedAddress[],
    ) {}

    /** Finds the addresses in `--deployment` or `--control`, and the key in `--key`. */
    static open(options: ConnectionOptions): OperatorClient {
        const answers = options.deployment === undefined
            ? undefined
            : readQuestionnaire(join(options.deployment, "questionnaire.json"));
        const named = (list: readonly { id: string; host: string; port: number; }[] = []) =>
            list.map(({ id, host, port }) => ({ name: id, host, port }));
        const control = options.control?.split(",").map(parseAddress) ?? named(answers?.control);
        if (control.length === 0) {
            throw new CommandError(exitCodes.usage, "give --deployment DIR or --control HOST:PORT[,HOST:PORT]");
        }
        const clock = new SystemClock();
        const client = new RpcClient(ProcessKey.read(options.key ?? "process.key"), clock);
        return new OperatorClient(client, clock, control, named(answers?.entries));
    }

    now(): number {
        return this.clock.now();
    }

    async sleep(ms: number): Promise<void> {
        await this.clock.sleepUntil(this.clock.now() + ms);
    }

    /** Calls one process; throws an RpcError. */
    async call<R extends z.ZodType>(
        peer: PeerAddress,
        method: string,
        params: unknown,
        result: R,
    ): Promise<z.infer<R>> {
        return await this.client.call(peer, method, params, result, this.clock.now() + callMs);
    }

    /**
     * Calls the leader. Only methods that may be repeated are allowed: reads, and changes with an operation id.
     * Throws a CommandError when no leader answers in time.
     */
    async callLeader<R extends z.ZodType>(method: string, params: unknown, result: R): Promise<z.infer<R>> {
        const until = this.clock.now() + leaderSearchMs;
        let target: PeerAddress | undefined;
        let last: unknown;
        let outcomeOpen = false;
        for (let attempt = 0; this.clock.now() < until; attempt++) {
            target ??= this.control[attempt % this.control.length] as PeerAddress;
            try {
                return await this.call(target, method, params, result);
            }
            catch (err) {
                last = err;
                target = this.nextTarget(err);
                outcomeOpen ||= err instanceof RpcError && (err.failure === "timeout" || err.failure === "broken");
                if (target === undefined) {
                    await this.sleep(retryMs);
                }
            }
        }
        const code = outcomeOpen ? exitCodes.unknownOutcome : exitCodes.failed;
        throw new CommandError(code, `no leader of the control group answered: ${String(last)}`);
    }

    async close(): Promise<void> {
        await this.client.close();
    }

    private nextTarget(err: unknown): PeerAddress | undefined {
        if (!(err instanceof RpcError)) {
            throw err;
        }
        if (err.failure === "unauthorized") {
            throw new CommandError(exitCodes.unauthorized, err.message);
        }
        if (err.code === rpcErrorCodes.invalidRequest) {
            throw new CommandError(exitCodes.usage, err.message);
        }
        const redirect = redirectSchema.safeParse(err.data);
        return redirect.success ? redirect.data.leader : undefined;
    }
}

/** Runs `action` with a client that is closed afterwards. */
export async function withClient<T>(
    options: ConnectionOptions,
    action: (client: OperatorClient) => Promise<T>,
): Promise<T> {
    const client = OperatorClient.open(options);
    try {
        return await action(client);
    }
    finally {
        await client.close();
    }
}
