import { connect, createServer, type Server, type Socket } from "node:net";

/** Flow of bytes from one process to another; `*` stands for every process. */
export interface Flow {
    from: string;
    to: string;
}

/** Process that is reached through a proxy. */
export interface ProxiedProcess {
    name: string;
    host: string;
    port: number;
    /** Port at which the process itself listens. */
    targetPort: number;
}

/** One direction of a proxied connection. Bytes of a silent flow are kept and arrive when the silence ends. */
class Direction {
    private held: Buffer[] = [];
    private ended = false;

    constructor(
        readonly flow: Flow,
        private readonly source: Socket,
        private readonly target: Socket,
        private readonly isSilent: (flow: Flow) => boolean,
    ) {
        source.on("data", (part: Buffer) => {
            this.held.push(part);
            this.relay();
        });
        source.on("error", () => undefined);
        source.on("close", () => {
            this.ended = true;
            this.relay();
        });
    }

    relay(): void {
        if (this.isSilent(this.flow)) {
            return;
        }
        for (const part of this.held) {
            if (this.target.writable) {
                this.target.write(part);
            }
        }
        this.held = [];
        if (this.ended) {
            this.target.end();
            this.target.destroySoon();
        }
    }

    cut(): void {
        this.source.destroy();
        this.target.destroy();
    }
}

/**
 * TCP proxies in front of the processes of a test. The source address of a connection names the process that made it,
 * so faults apply to a pair of processes and to one direction.
 */
export class FaultNetwork {
    private readonly servers: Server[] = [];
    private readonly sources = new Map<string, string>();
    private readonly silent: Flow[] = [];
    private readonly allowed: Flow[] = [];
    private readonly refused: Flow[] = [];
    private directions = new Set<Direction>();

    /** Connections from `address` belong to the process `name`. */
    addSource(address: string, name: string): void {
        this.sources.set(address, name);
    }

    async addProxy({ name, host, port, targetPort }: ProxiedProcess): Promise<Server> {
        const server = createServer(socket => {
            const from = this.sources.get(socket.remoteAddress ?? "") ?? "test";
            this.accept(socket, { from, to: name }, host, targetPort);
        });
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        this.servers.push(server);
        return server;
    }

    /** Stops the bytes of the flow on open and new connections; connections are accepted. */
    silence(from: string, to: string): void {
        this.silent.push({ from, to });
    }

    /** Stops the bytes between a process and all other processes, but not between it and the test. */
    isolate(name: string): void {
        this.silence(name, "*");
        this.silence("*", name);
    }

    /** Lets the bytes between two processes pass, whatever else is silent. */
    allow(one: string, other: string): void {
        this.allowed.push({ from: one, to: other }, { from: other, to: one });
        this.relayAll();
    }

    /** Ends every connection from `from` to `to` and closes new ones at once. */
    refuse(from: string, to: string): void {
        this.refused.push({ from, to });
        this.cut(from, to);
    }

    /** Ends the connections that `from` made to `to`. */
    cut(from: string, to: string): void {
        for (const direction of [...this.directions]) {
            if (covers({ from, to }, direction.flow)) {
                direction.cut();
            }
        }
    }

    /** Ends all silences and refusals; the bytes that were kept arrive now. */
    heal(): void {
        this.silent.length = 0;
        this.allowed.length = 0;
        this.refused.length = 0;
        this.relayAll();
    }

    async close(): Promise<void> {
        this.directions.forEach(direction => direction.cut());
        await Promise.all(this.servers.map(server => new Promise(resolve => server.close(resolve))));
    }

    private relayAll(): void {
        for (const direction of [...this.directions]) {
            direction.relay();
        }
    }

    private isSilent(flow: Flow): boolean {
        return this.silent.some(rule => covers(rule, flow)) && !this.allowed.some(rule => covers(rule, flow));
    }

    private accept(socket: Socket, flow: Flow, host: string, port: number): void {
        if (this.refused.some(other => covers(other, flow))) {
            socket.destroy();
            return;
        }
        const upstream = connect({ host, port, noDelay: true });
        socket.setNoDelay(true);
        const isSilent = (other: Flow): boolean => this.isSilent(other);
        const there = new Direction(flow, socket, upstream, isSilent);
        const back = new Direction({ from: flow.to, to: flow.from }, upstream, socket, isSilent);
        this.directions.add(there).add(back);
        let open = 2;
        for (const end of [socket, upstream]) {
            end.once("close", () => {
                if (--open === 0) {
                    this.directions.delete(there);
                    this.directions.delete(back);
                }
            });
        }
    }
}

/** A process can always be reached by the test, unless the test itself is named. */
function covers(rule: Flow, flow: Flow): boolean {
    const matches = (name: string, actual: string): boolean => name === actual || (name === "*" && actual !== "test");
    return matches(rule.from, flow.from) && matches(rule.to, flow.to);
}
