import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export interface VersionedEndpointOptions {
    service: string;
    version: string;
    /** Number of events of a whole stream. */
    events: number;
    /** Pause after each event but the last, in milliseconds. */
    gapMs: number;
}

/** Returns an event of a stream as a software version writes it. */
export function versionedEvent(version: string, event: number): string {
    return `id: ${event}\ndata: ${version}\n\n`;
}

/** An endpoint of one software version, which writes its version into its events. It goes on with any stream. */
export class VersionedEndpoint {
    /** Ids of the requests that were resumed here. */
    readonly resumed: string[] = [];
    private port = 0;
    private readonly server: Server = createServer((req, res) => void this.answer(req, res));

    constructor(readonly id: string, private readonly options: VersionedEndpointOptions) {}

    get version(): string {
        return this.options.version;
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = (this.server.address() as AddressInfo).port;
    }

    /** Ends the endpoint and its connections, as a crash does. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Entry of the platform's list, which shows an endpoint that has ended for a while. */
    get entry(): unknown {
        const { service, version } = this.options;
        return {
            id: this.id,
            service,
            address: `127.0.0.1:${this.port}`,
            zone: "a",
            slots: 32,
            state: "ready",
            version,
        };
    }

    private async answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const { version, events, gapMs } = this.options;
        req.resume();
        const id = String(req.headers["x-attempt-id"]);
        const from = Number(req.headers["last-event-id"] ?? 0);
        if (from > 0) {
            this.resumed.push(id);
        }
        res.writeHead(200, { "x-attempt-id": id, "x-response-seal": version });
        for (let event = from + 1; event <= events && !res.destroyed; event++) {
            res.write(versionedEvent(version, event));
            if (event < events) {
                await sleep(gapMs);
            }
        }
        res.end();
    }
}
