import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { ports } from "./fleet-harness.ts";

/** Longest pause of a caller before it returns, in milliseconds. */
const maxReturnMs = 1_000;

/** A caller of one stream, which takes it up at other ingresses when it breaks off. */
export class StreamCaller {
    /** Versions that have written events of the stream. */
    readonly versions = new Set<string>();
    /** Statuses of the attempts to take the stream up. */
    readonly statuses: number[] = [];
    lastEvent = 0;
    /** Whether an event came before the one in front of it. */
    hasGap = false;
    complete = false;
    private attempts = 0;
    private firstAttempt: string | undefined;
    private readonly deadline: number;

    constructor(
        readonly name: string,
        private readonly target: {
            host: string;
            path: string;
            /** Time for all attempts together, in milliseconds. */
            timeoutMs: number;
        },
    ) {
        this.deadline = Date.now() + target.timeoutMs;
    }

    /** Sends one attempt; resolves when its answer has ended, with whether it brought an event. */
    async attempt(ingress: string): Promise<boolean> {
        const id = `${this.name}-${++this.attempts}`;
        const before = this.lastEvent;
        const headers = {
            host: this.target.host,
            "x-attempt-id": id,
            "x-deadline-ms": String(Math.max(1, this.deadline - Date.now())),
            ...before === 0 ? {} : { "last-event-id": String(before), resumes: this.firstAttempt },
        };
        const retryMs = await new Promise<number>(resolve => {
            const options = {
                host: ingress,
                port: ports.front,
                path: this.target.path,
                method: "POST",
                agent: false,
                headers,
            };
            const req = request(options, res => {
                if (before > 0) {
                    this.statuses.push(res.statusCode ?? 0);
                }
                let text = "";
                res.setEncoding("latin1").on("data", (part: string) => this.read(text += part, id));
                res.on("error", () => undefined);
                res.on("close", () => {
                    this.complete ||= res.complete && res.statusCode === 200;
                    resolve(1_000 * Number(res.headers["retry-after"] ?? 0));
                });
            });
            req.on("error", () => resolve(0));
            req.end("x");
        });
        if (!this.complete && this.lastEvent === before) {
            await sleep(Math.min(maxReturnMs, retryMs));
        }
        return this.lastEvent > before;
    }

    /** Takes the stream up at the ingresses by turns, `attempts` times at most; resolves with whether it goes on. */
    async takeUp(ingresses: readonly string[], attempts: number): Promise<boolean> {
        for (let i = 0; i < attempts; i++) {
            if (await this.attempt(ingresses[i % ingresses.length] ?? "")) {
                return true;
            }
        }
        return false;
    }

    private read(text: string, id: string): void {
        for (const [, event, version = ""] of text.matchAll(/id: (\d+)\ndata: (\S+)\n\n/g)) {
            if (Number(event) > this.lastEvent) {
                this.firstAttempt ??= id;
                this.hasGap ||= Number(event) > this.lastEvent + 1;
                this.lastEvent = Number(event);
                this.versions.add(version);
            }
        }
    }
}
