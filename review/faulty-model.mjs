// A site whose fronts serve a plain service and a model service, of which one replica is faulty for some seconds.
import { once } from "node:events";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { exchange, isReady, Operator, ports, Replica, trouble, until } from "./stand-ins.mjs";

/** The operator's time limit of the plain route, in milliseconds. */
export const timeoutMs = 1_500;
/** Delay of this process up to which its figures are used, in milliseconds. */
export const ownDelayMs = 200;
const streamTimeoutMs = 5_000;
/** Bytes of each chunk of the answer that never ends: a word of a text. */
const word = "word";
const playMs = 25_000;
const faultyFromMs = 5_000;
const faultyForMs = 6_000;

/** A model replica: streams events, or, while it is faulty, words without the end of an event until the caller closes. */
class ModelReplica extends Replica {
    faulty = false;

    async handle(req, res) {
        const id = String(req.headers["x-attempt-id"]);
        for await (const part of req) {
            void part;
        }
        if (req.headers["x-expected-instance"] !== this.id) {
            res.writeHead(421, { "x-attempt-id": id, "x-not-executed": "1", "content-length": 0 }).end();
            return;
        }
        this.record.add(`run ${id} at ${this.id}${this.faulty ? " (faulty)" : ""}`);
        const head = { "x-attempt-id": id, "x-response-seal": `s-${id}`, "content-type": "text/event-stream" };
        if (this.faulty) {
            res.writeHead(200, { ...head, "transfer-encoding": "chunked" });
            res.flushHeaders();
            const chunk = `${word.length.toString(16)}\r\n${word}\r\n`;
            const bytes = Buffer.from(chunk.repeat(4_096));
            const { socket } = res;
            const begunAt = Date.now();
            while (!socket.destroyed) {
                if (!socket.write(bytes)) {
                    await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => undefined);
                }
            }
            this.record.add(`the answer to ${id} was closed after ${Date.now() - begunAt} ms`);
            return;
        }
        res.writeHead(200, head);
        const first = Number(req.headers["last-event-id"] ?? 0) + 1;
        for (let event = first; event <= 10 && !res.destroyed; event++) {
            await sleep(20);
            res.write(`id: ${event}\ndata: ${"x".repeat(40)}\n\n`);
        }
        res.end();
    }
}

function configuration(version) {
    const route = (name, prefix, kind, service, more) => ({
        name,
        host: "site.example",
        path_prefix: prefix,
        kind,
        target_latency_ms: 300,
        priority: 0,
        service,
        max_attempts: 2,
        public: true,
        ...more,
    });
    return JSON.stringify({
        version,
        routes: [
            route("r-view", "/view/", "safe", "app", { timeout_ms: timeoutMs, resumable: false }),
            route("r-chat", "/chat/", "streaming", "model", {
                timeout_ms: streamTimeoutMs,
                resumable: true,
                gap_target_ms: 300,
            }),
        ],
        services: [
            { name: "app", health_check_path: "/health", connection_limit: 96, protocol: "h1", tls: false },
            { name: "model", health_check_path: "/health", connection_limit: 160, protocol: "h1", tls: false },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [],
    });
}

/**
 * Sends 20 plain requests and 10 streams a second, whatever becomes of them, and returns the plain ones: when each was
 * sent, whether it was answered, and after which time that was, or its consumer left. Consumers of plain requests tell
 * `budgetMs` as their time budget and leave after `patienceMs`.
 */
export async function playFaultyModel({ site, platform, record }, { patienceMs, budgetMs }) {
    const apps = [1, 2, 3].map(i => new Replica(`i-app-${i}`, "app", record));
    const models = [1, 2, 3].map(i => new ModelReplica(`i-model-${i}`, "model", record));
    await Promise.all([...apps, ...models].map(replica => replica.start()));
    platform.listed = () => [...apps, ...models].map(({ entry }) => entry);
    await site.start(3, 2);
    const operator = new Operator(site, record);
    await until("the configuration is confirmed", async () => await operator.put(configuration(1), 5_000) === 200);
    await until("the fronts are ready", async () => (await Promise.all(site.fronts.map(isReady))).every(Boolean));

    const startedAt = Date.now();
    const ownDelay = monitorEventLoopDelay({ resolution: 10 });
    ownDelay.enable();
    const calls = [];
    const send = async (prefix, waitMs, deadlineMs) => {
        const call = { id: `c${calls.length}`, prefix, answered: false, sentAt: Date.now(), ms: 0 };
        calls.push(call);
        const front = site.fronts[calls.length % site.fronts.length];
        record.add(`sent ${prefix}${call.id} to ${front}`);
        const outcome = await exchange(front, ports.front, `${prefix}${call.id}`, {
            timeoutMs: waitMs,
            headers: { host: "site.example", "x-attempt-id": call.id, "x-deadline-ms": String(deadlineMs) },
        }).then(({ status, complete }) => {
            call.answered = true;
            return `${status}${complete ? "" : ", cut"}`;
        }, err => err.message);
        call.ms = Date.now() - call.sentAt;
        record.add(`answered ${call.id} after ${call.ms} ms: ${outcome}`);
    };
    const pending = [];
    for (let tick = 0; Date.now() - startedAt < playMs; tick++) {
        const now = Date.now() - startedAt;
        const faulty = trouble && now >= faultyFromMs && now < faultyFromMs + faultyForMs;
        if (faulty !== models[0].faulty) {
            models[0].faulty = faulty;
            record.add(`i-model-1 is ${faulty ? "faulty" : "sound again"}`);
        }
        pending.push(send("/view/", patienceMs, budgetMs));
        if (tick % 2 === 0) {
            pending.push(send("/chat/", streamTimeoutMs, streamTimeoutMs));
        }
        await sleep(50);
    }
    await Promise.all(pending);
    const ownMs = Math.round(ownDelay.max / 1e6);
    if (ownMs > ownDelayMs) {
        throw new Error(`the stand-ins were late themselves, by ${ownMs} ms`);
    }
    const runs = new Map(apps.flatMap(({ runs: own }) => [...own]));
    return { views: calls.filter(({ prefix }) => prefix === "/view/"), ownMs, runs };
}
