import type { Endpoint } from "@lentilramp/configuration";
import { readResponseBody } from "@lentilramp/protocol";
import { type Clock, Component, type EventLog, type Metrics, type Timer } from "@lentilramp/runtime";
import { type DeadReason, type ProbeAnswer, type SilenceAction, SilenceDetector } from "@lentilramp/streams";
import { z } from "zod";
import type { UpstreamClient } from "./upstream.ts";

const statusLimitBytes = 65_536;
const statusSchema = z.looseObject({ produced: z.number(), state: z.string() });

/** Connection that is monitored for silence. */
export interface WatchedConnection {
    /** Request id at the endpoint. */
    id: string;
    endpoint: Endpoint;
    onDead: (reason: DeadReason) => void;
}

function parseProbeAnswer(status: number, body: string): ProbeAnswer {
    if (status === 404) {
        return { kind: "unknown-request" };
    }
    const parsed = statusSchema.parse(JSON.parse(body));
    const state = parsed.state === "done" || parsed.state === "cancelled" ? parsed.state : "running";
    return { kind: "status", produced: parsed.produced, state };
}

/**
 * Runs the silence detector: probes endpoints over new connections when a connection is silent, and reports dead
 * connections.
 */
export class SilenceMonitor extends Component {
    readonly name = "silence-monitor";
    private readonly detector = new SilenceDetector();
    private readonly connections = new Map<string, WatchedConnection>();
    private timer: Timer | undefined;
    private timerDueAt = Infinity;

    constructor(
        private readonly upstream: UpstreamClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {
        super();
    }

    watch(connection: WatchedConnection): void {
        this.connections.set(connection.id, connection);
        this.detector.watch(connection.id, connection.endpoint.id, this.clock.now());
        this.schedule();
    }

    /** Records that bytes arrived; `received` is the offset after the newest token. */
    onBytes(id: string, received: number): void {
        this.detector.onBytes(id, received, this.clock.now());
    }

    unwatch(id: string): void {
        this.detector.unwatch(id);
        this.connections.delete(id);
    }

    override async close(): Promise<void> {
        this.timer?.cancel();
    }

    private schedule(): void {
        const dueAt = this.detector.nextDueAt();
        // Received bytes only postpone the due time, so a timer that is already set fires early enough.
        if (dueAt === undefined || dueAt >= this.timerDueAt) {
            return;
        }
        this.timer?.cancel();
        this.timerDueAt = dueAt;
        this.timer = this.clock.schedule(dueAt, () => {
            this.timerDueAt = Infinity;
            this.runActions(this.detector.poll(this.clock.now()));
            this.schedule();
        });
    }

    private runActions(actions: readonly SilenceAction[]): void {
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
        const connection = this.connections.get(id);
        this.connections.delete(id);
        this.log.warn("connection.silent", { request: id, endpoint: connection?.endpoint.id, reason });
        this.metrics.count("connections.silent");
        connection?.onDead(reason);
    }

    private async probe(id: string, probe: number, deadline: number): Promise<void> {
        const connection = this.connections.get(id);
        if (connection === undefined) {
            return;
        }
        const answer = await this.requestStatus(connection, deadline).catch(() => undefined);
        if (answer !== undefined) {
            this.runActions(this.detector.onProbeAnswer(id, probe, answer, this.clock.now()));
            this.schedule();
        }
    }

    private async requestStatus({ id, endpoint }: WatchedConnection, deadline: number): Promise<ProbeAnswer> {
        const res = await this.upstream.send({
            endpoint,
            method: "GET",
            path: `/v1/requests/${encodeURIComponent(id)}`,
            headers: {},
            deadline,
            newConnection: true,
        });
        return parseProbeAnswer(res.statusCode ?? 0, (await readResponseBody(res, statusLimitBytes)).toString("utf8"));
    }
}
