import type { ClientGuard } from "@lentilramp/protocol";
import { Component, type EventLog, type PrometheusMetrics } from "@lentilramp/runtime";
import { createServer } from "node:http";

/** Part of the connections of the process. */
const connectionPart = 0.05;

/** Answers scrapers. A process whose metrics address is taken serves without it. */
export class MetricsServer extends Component {
    readonly name = "metrics-server";
    private readonly server;

    constructor(
        private readonly address: { host: string; port: number; },
        metrics: PrometheusMetrics,
        /** Sets the gauges before they are read. */
        refresh: () => void,
        private readonly log: EventLog,
        guard: ClientGuard,
    ) {
        super();
        const listener = guard.listener((req, res) => {
            req.resume();
            refresh();
            metrics.render().then(text => {
                res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
                res.end(text);
            }, (err: unknown) => {
                this.log.warn("metrics.not-rendered", { error: String(err) });
                res.destroy();
            });
        });
        this.server = createServer({ requireHostHeader: false }, listener);
        guard.attach(this.server, connectionPart);
    }

    override async start(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.once("error", err => {
                this.log.warn("metrics.not-served", { error: err.message, ...this.address });
                resolve();
            });
            this.server.listen(this.address.port, this.address.host, resolve);
        });
    }

    override async close(): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
    }
}
