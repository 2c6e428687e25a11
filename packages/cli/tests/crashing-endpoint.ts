import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo } from "node:net";

const downMs = 800;
/** Time from the arrival of a request until its answer begins or the endpoint crashes, in milliseconds. */
const answerDelayMs = 20;

/** An endpoint that ends as it is about to answer a deadly request, and comes back as a new lifetime. */
export class CrashingEndpoint {
    crashes = 0;
    private startedAt = Date.now();
    private server: Server | undefined;
    private port = 0;

    constructor(
        readonly id: string,
        private readonly service: string,
        private readonly isDeadly: (req: IncomingMessage, body: string) => boolean,
        private readonly answer: string,
    ) {}

    /** The entry of this endpoint in the platform's list. */
    get entry(): unknown {
        const { id, port, service, startedAt } = this;
        return {
            id,
            service,
            address: `127.0.0.1:${port}`,
            zone: "a",
            slots: 8,
            state: "ready",
            born: startedAt,
        };
    }

    async start(): Promise<void> {
        this.server = createServer((req, res) => {
            let body = "";
            req.on("data", (part: Buffer) => body += part.toString("latin1"));
            req.on("end", () => {
                const deadly = this.isDeadly(req, body);
                res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
                res.flushHeaders();
                setTimeout(() => deadly ? this.crash() : res.end(this.answer), answerDelayMs);
            });
        });
        this.server.listen(this.port, "127.0.0.1");
        await once(this.server, "listening");
        this.port = (this.server.address() as AddressInfo).port;
    }

    close(): void {
        this.server?.close();
        this.server?.closeAllConnections();
        this.server = undefined;
    }

    private crash(): void {
        if (this.server !== undefined) {
            this.crashes++;
            this.close();
            this.startedAt = Date.now();
            setTimeout(() => void this.start(), downMs);
        }
    }
}
