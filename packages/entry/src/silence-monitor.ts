import type { Endpoint } from "@lentilramp/configuration";
import { readBody } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog, type Metrics, type Timer } from "@lentilramp/runtime";
import { type DeadReason, type ProbeAnswer, type SilenceAction, SilenceDetector } from "@lentilramp/streams";
import { z } from "zod";
import type { UpstreamClient } from "./upstream.ts";

const statusLimitBytes = 65_536;
const statusSchema = z.looseObject({ produced: z.number(), state: z.string() });

/** Connection that is watched for silence. */
export interface WatchedConnection {
    /** Request id at the endpoint. */
    id: string;
    endpoint: Endpoint;
    onDead: (reason: DeadReason) => void;
}

function toAnswer(status: number, body: string): ProbeAnswer {
    if (status === 404) {
        return { kind: "unknown-request" };
    }
    const parsed = statusSchema.parse(JSON.parse(body));
    const state = parsed.state === "done" || parsed.state === "cancelled" ? parsed.state : "running";
    return { kind: "status", produced: parsed.produced, state };
}

/** Runs the silence detector: asks endpoints on new connections and reports connections that are dead. */
export class SilenceMonitor extends Component {
    readonly name = "silence-monitor";
    private readonly detector = new SilenceDetector();
    private readonly watched = new Map<string, WatchedConnection>();
    private timer: Timer | undefined;
    private timerAt = Infinity;

    constructor(
        private readonly upstream: UpstreamClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        super();
    }

    watch(connection: WatchedConnection): void {
        this.watched.set(connection.id, connection);
        this.detector.watch(connection.id, connection.endpoint.id, this.clock.now());
        this.schedule();
    }

    /** Reports bytes; `received` is the offset after the newest token. */
    onBytes(id: string, received: number): void {
        this.detector.onBytes(id, received, this.clock.now());
    }

    unwatch(id: string): void {
        this.detector.unwatch(id);
        this.watched.delete(id);
    }

    override async close(): Promise<void> {
        this.timer?.cancel();
    }

    private schedule(): void {
        const next = this.detector.nextDueAt();
        // Bytes only move transitions to later instants, so a timer that is set already comes early enough.
        if (next === undefined || next >= this.timerAt) {
            return;
        }
        this.timer?.cancel();
        this.timerAt = next;
        this.timer = this.clock.schedule(next, () => {
            this.timerAt = Infinity;
            this.carryOut(this.detector.poll(this.clock.now()));
            this.schedule();
        });
    }

    private carryOut(actions: readonly SilenceAction[]): void {
        for (const action of actions) {
            switch (action.kind) {
                case "probe":
                    void this.probe(action.connection, action.probe, action.deadline);
                    break;
                case "dead":
                    this.declareDead(action.connection, action.reason);
                    break;
                case "retire-idle":
                    this.upstream.retirePool(action.endpoint);
                    break;
            }
        }
    }

    private declareDead(id: string, reason: DeadReason): void {
        const connection = this.watched.get(id);
        this.watched.delete(id);
        this.log.warn("connection.silent", { request: id, endpoint: connection?.endpoint.id, reason });
        this.metrics.count("connections.silent");
        connection?.onDead(reason);
    }

    private async probe(id: string, probe: number, deadline: number): Promise<void> {
        const connection = this.watched.get(id);
        if (connection === undefined) {
            return;
        }
        const answer = await this.ask(connection, deadline).catch(() => undefined);
        if (answer !== undefined) {
            this.carryOut(this.detector.onProbeAnswer(id, probe, answer, this.clock.now()));
            this.schedule();
        }
    }

    private async ask({ id, endpoint }: WatchedConnection, deadline: number): Promise<ProbeAnswer> {
        const res = await this.upstream.send({
            endpoint,
            method: "GET",
            path: `/v1/requests/${encodeURIComponent(id)}`,
            headers: {},
            deadline,
            newConnection: true,
        });
        return toAnswer(res.statusCode ?? 0, (await readBody(res, statusLimitBytes)).toString("utf8"));
    }
}
