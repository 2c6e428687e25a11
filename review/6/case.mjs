// MIXED: a resumed stream whose first replica stated the length of its answer.
import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { disturbed, exitCodes, ports, runCase, sleep } from "../rig-2.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const events = 12;
const eventGapMs = 150;
const consumers = 48;
const replicaCount = 6;
const startGapMs = 25;
const downMs = 3000;
const host = "desk.example";
const key = "key-of-the-first-tenant";

/** The text of an event, which is the same at all replicas. */
const eventText = (id, event) => `id: ${event}\ndata: ${id}.${event}\n\n`;

/**
 * A replica that knows its answer when it begins, and states its length. Replicas have weights of two versions; an event
 * at which the version changes carries it as a first line.
 */
class Replica {
    constructor(net, index, record, state) {
        this.name = `i-model-${index}`;
        this.host = `${net}.${200 + index}`;
        this.weights = 1 + index % 2;
        this.record = record;
        this.state = state;
        this.lives = 0;
        this.port = 0;
        this.entries = [];
    }

    async start() {
        this.id = `${this.name}-${++this.lives}`;
        this.server = createServer((req, res) => {
            req.resume();
            req.on("end", () => void this.answer(req, res));
        });
        this.server.listen(this.port, this.host);
        await once(this.server, "listening");
        this.port = this.server.address().port;
        const entry = {
            id: this.id,
            service: "desk-model",
            address: `${this.host}:${this.port}`,
            zone: "no-west-a",
            version: "v1",
            slots: 12,
            state: "ready",
            cold_remaining_ms: 0,
            stage: "both",
            models: [{ name: "m", version: this.weights, adapters: [] }],
            born: Date.now(),
        };
        this.entries.push({ at: Date.now(), entry });
        this.record.add("replica-up", { id: this.id, weights: this.weights });
    }

    /** The list lags, and shows a replica that has crashed until its next lifetime is up. */
    listedAt(at) {
        return this.entries.findLast(({ at: from }) => from <= at)?.entry;
    }

    async answer(req, res) {
        const id = req.headers["x-attempt-id"];
        if (req.headers["x-expected-instance"] !== this.id) {
            res.writeHead(421, { "x-instance": this.id, "x-attempt-id": id }).end();
            return;
        }
        const from = Number(req.headers["last-event-id"] ?? 0);
        const parts = [];
        for (let event = from + 1; event <= events; event++) {
            const hasChanged = event === from + 1 && from > 0 && this.state.weightsOf.get(id) !== this.weights;
            parts.push((hasChanged ? `x-weight-versions: ${this.weights}\n` : "") + eventText(id, event));
        }
        this.state.weightsOf.set(id, this.weights);
        const length = parts.reduce((sum, part) => sum + part.length, 0);
        this.record.add("run", { replica: this.id, weights: this.weights, id, from, length });
        res.writeHead(200, {
            "content-type": "text/event-stream",
            "content-length": length,
            "x-attempt-id": id,
            "x-response-seal": `s.${this.id}`,
            "x-weight-versions": this.weights,
        });
        for (const part of parts) {
            if (res.destroyed) {
                return;
            }
            res.write(part);
            await sleep(eventGapMs);
        }
        res.end();
    }

    /** Ends all connections and the listener; the next lifetime comes after some seconds. */
    crash() {
        this.record.add("replica-crashes", { id: this.id });
        this.close();
        setTimeout(() => this.state.ended || void this.start(), downMs);
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }
}

const configuration = {
    version: 1,
    routes: [{
        name: "r-chat",
        host,
        path_prefix: "/chat/",
        kind: "streaming",
        timeout_ms: 6000,
        target_latency_ms: 3000,
        priority: 0,
        service: "desk-model",
        max_attempts: 2,
        public: false,
        sticky_sessions: false,
        resumable: true,
        gap_target_ms: 500,
    }],
    services: [{ name: "desk-model", health_check_path: "/health", connection_limit: 160, protocol: "h1", tls: false }],
    limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
    tenants: [{ name: "t-first", api_keys: [key], priority: 0 }],
};

/** Reads the answers on one connection of a consumer. */
class Consumer {
    bytes = "";

    constructor(socket) {
        this.socket = socket;
        socket.on("data", part => this.bytes += part.toString("latin1"));
        socket.on("error", () => undefined);
    }

    /** Sends a request; resolves with the answer by its framing once it is whole, or with what came within `waitMs`. */
    async send(id, waitMs) {
        this.socket.write(
            `POST /chat/2f HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 6000\r\nApi-Key: ${key}\r\n`
                + "Content-Length: 6\r\n\r\nprompt",
        );
        const deadline = Date.now() + waitMs;
        for (;;) {
            const answer = this.take();
            if (answer !== undefined || Date.now() > deadline) {
                return answer ?? { status: "none", kind: this.bytes === "" ? "none" : "not whole", body: this.bytes };
            }
            await sleep(10);
        }
    }

    /** Takes a whole answer off what has been received. */
    take() {
        const headEnd = this.bytes.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return undefined;
        }
        const head = this.bytes.slice(0, headEnd);
        const status = /^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1];
        if (status === undefined) {
            return { status: "none", kind: "no answer in the protocol", body: this.bytes };
        }
        const length = /^content-length: (\d+)$/im.exec(head)?.[1];
        const rest = this.bytes.slice(headEnd + 4);
        const end = length === undefined ? rest.indexOf("0\r\n\r\n") + 5 : Number(length);
        if (length === undefined ? end < 5 : rest.length < end) {
            return undefined;
        }
        this.bytes = rest.slice(end);
        const body = length === undefined
            ? rest.slice(0, end).replace(/[0-9a-f]+\r\n((?:id|x-weight|\{)[^\r]*)\r\n/g, "$1").replace("0\r\n\r\n", "")
            : rest.slice(0, end);
        return { status, kind: "whole", body, length };
    }
}

/** What is wrong with an answer that claims to be whole: the events that are missing from it, or spoilt. */
function missingEvents(id, body) {
    const missing = [];
    for (let event = 1; event <= events; event++) {
        if (!body.includes(eventText(id, event))) {
            missing.push(event);
        }
    }
    return missing;
}

/** Counts what one consumer gets for two requests, one after the other, on a kept connection. */
async function consume(number, front, record, counts) {
    const consumer = new Consumer(connect({ host: front, port: ports.front }));
    await once(consumer.socket, "connect");
    for (const id of [`a${number}`, `b${number}`]) {
        record.add("sent", { id, connection: number });
        const { status, kind, body, length } = await consumer.send(id, 4000);
        counts.answers++;
        const missing = status === "200" ? missingEvents(id, body) : [];
        record.add("answered", {
            id,
            status,
            kind,
            statedLength: length,
            got: body.length,
            missingEvents: missing.join(",") || undefined,
            bytes: kind === "whole" ? undefined : JSON.stringify(body.slice(0, 160)),
        });
        if (kind === "no answer in the protocol") {
            counts.notAnAnswer++;
            break;
        }
        if (status !== "200") {
            counts.other++;
            break;
        }
        counts[missing.length > 0 ? "incompleteSuccesses" : "whole"]++;
        await sleep(300);
        if (consumer.bytes !== "") {
            counts.bytesWithoutRequest++;
            record.add("bytes-without-request", { after: id, bytes: JSON.stringify(consumer.bytes.slice(0, 160)) });
        }
    }
    consumer.socket.destroy();
}

await runCase(folder, { cores: 3, fronts: 2 }, async ({ net, platform, fleet, record }) => {
    const state = { weightsOf: new Map(), ended: false };
    const replicas = Array.from({ length: replicaCount }, (_, i) => new Replica(net, i, record, state));
    await Promise.all(replicas.map(replica => replica.start()));
    platform.replicas = replicas;
    await fleet.start(configuration);
    await sleep(4000);
    const counts = { answers: 0, whole: 0, incompleteSuccesses: 0, bytesWithoutRequest: 0, notAnAnswer: 0, other: 0 };
    const pending = [];
    for (let i = 0; i < consumers; i++) {
        pending.push(consume(i, fleet.fronts[i % 2], record, counts));
        await sleep(startGapMs);
    }
    if (disturbed) {
        replicas[0].crash();
    }
    await Promise.all(pending);
    state.ended = true;
    record.add("summary", counts);
    // Bytes that are no answer are excused where a replica broke off; a success that lacks a part of its body is not.
    const broken = counts.incompleteSuccesses;
    if (broken === 0 && counts.whole === 0) {
        return exitCodes.notRun;
    }
    return broken > 0 ? exitCodes.broken : exitCodes.held;
});
