/** Process that keeps a number of streams open at a relay and counts what arrives in the measured time. */
import { build } from "hdr-histogram-js";
import { Agent, request } from "node:http";

export interface LoadOptions {
    host: string;
    port: number;
    streams: number;
    tokens: number;
    /** Part of the time that is not counted, in milliseconds. */
    warmUpMs: number;
    measuredMs: number;
}

export interface LoadResult {
    tokens: number;
    requests: number;
    failed: number;
    firstTokenMs: { p50: number; p99: number; };
}

const microsecondsPerMs = 1_000;

function run(options: LoadOptions): Promise<LoadResult> {
    const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    const from = performance.now() + options.warmUpMs;
    const until = from + options.measuredMs;
    const counts = { tokens: 0, requests: 0, failed: 0 };
    const body = JSON.stringify({
        model: "desk-model",
        messages: [{ role: "user", content: "A short question about a lens." }],
        max_tokens: options.tokens,
        stream: true,
    });
    const measuring = (): boolean => performance.now() >= from && performance.now() < until;

    const stream = (): Promise<void> =>
        new Promise(resolve => {
            const startedAt = performance.now();
            let first = true;
            const req = request({
                host: options.host,
                port: options.port,
                path: "/v1/chat/completions",
                method: "POST",
                agent,
                headers: {
                    "content-type": "application/json",
                    "content-length": Buffer.byteLength(body),
                    "x-workspace": "bench",
                },
            }, res => {
                res.on("data", (part: Buffer) => {
                    if (first) {
                        first = false;
                        if (measuring() && startedAt >= from) {
                            histogram.recordValue(Math.round((performance.now() - startedAt) * microsecondsPerMs));
                        }
                    }
                    if (measuring()) {
                        for (let at = part.indexOf("\n\n"); at >= 0; at = part.indexOf("\n\n", at + 2)) {
                            counts.tokens++;
                        }
                    }
                });
                res.on("error", () => undefined);
                res.on("close", () => {
                    if (measuring()) {
                        counts[res.statusCode === 200 && res.complete ? "requests" : "failed"]++;
                    }
                    resolve();
                });
            });
            req.on("error", () => {
                counts.failed++;
                setTimeout(resolve, 100);
            });
            req.end(body);
        });

    const loop = async (delayMs: number): Promise<void> => {
        await new Promise(resolve => setTimeout(resolve, delayMs));
        while (performance.now() < until) {
            await stream();
        }
    };
    // Streams start spread over the warm-up, so that they do not end and begin all at once.
    const loops = Array.from(Array(options.streams).keys(), i => loop(i / options.streams * options.warmUpMs / 2));
    return Promise.all(loops).then(() => {
        agent.destroy();
        return {
            ...counts,
            firstTokenMs: {
                p50: histogram.getValueAtPercentile(50) / microsecondsPerMs,
                p99: histogram.getValueAtPercentile(99) / microsecondsPerMs,
            },
        };
    });
}

process.on("message", (options: LoadOptions) => {
    void run(options).then(result => process.send?.(result));
});
