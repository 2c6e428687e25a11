import type { Endpoint } from "@lentilramp/fleet";
import { Agent, type AgentOptions, type ClientRequest, type RequestOptions } from "node:http";
import type { Socket } from "node:net";

/** Part of the idle time announced by an endpoint for which a connection is kept; a reset after that is rare. */
const keptPart = 0.5;
/** Idle time of connections to an endpoint that announces none, in milliseconds. */
const defaultIdleMs = 2_000;

/**
 * Connections to one endpoint. A connection on which data arrives while no request is in progress is closed, because
 * the bytes belong to no request.
 */
class EndpointAgent extends Agent {
    private readonly unexpected = new WeakMap<Socket, () => void>();

    constructor(options: AgentOptions) {
        super({ ...options, keepAlive: true, scheduling: "lifo", noDelay: true } as AgentOptions);
    }

    override keepSocketAlive(
        socket: Socket & { _httpMessage?: { res?: { headers: Record<string, string | undefined>; }; }; },
    ): boolean {
        const announced = /timeout=(\d+)/.exec(socket._httpMessage?.res?.headers["keep-alive"] ?? "")?.[1];
        const idleMs = announced === undefined ? defaultIdleMs : Number(announced) * 1_000 * keptPart;
        if (idleMs === 0 || socket.readableLength > 0) {
            return false;
        }
        super.keepSocketAlive(socket);
        socket.setTimeout(idleMs);
        const onData = (): void => void socket.destroy();
        socket.once("data", onData);
        this.unexpected.set(socket, onData);
        return true;
    }

    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const onData = this.unexpected.get(socket);
        if (onData !== undefined) {
            socket.off("data", onData);
            this.unexpected.delete(socket);
        }
        super.reuseSocket(socket, req);
    }
}

/** Keeps connections to endpoints, one set for each lifetime of an endpoint. */
export class EndpointPool {
    private readonly agents = new Map<string, EndpointAgent>();

    /** Options with which `http.request` reaches the endpoint. */
    requestOptions(endpoint: Endpoint, maxFree: number): Pick<RequestOptions, "host" | "port" | "agent"> {
        let agent = this.agents.get(endpoint.id);
        if (agent === undefined) {
            agent = new EndpointAgent({ maxFreeSockets: maxFree });
            this.agents.set(endpoint.id, agent);
        }
        agent.maxFreeSockets = maxFree;
        return { host: endpoint.host, port: endpoint.port, agent };
    }

    /** Closes the idle connections of an endpoint, for example after one of them has gone silent. */
    closeIdleConnections(endpoint: string): void {
        const agent = this.agents.get(endpoint);
        for (const sockets of Object.values(agent?.freeSockets ?? {})) {
            for (const socket of sockets ?? []) {
                socket.destroy();
            }
        }
    }

    /** Drops an endpoint whose lifetime has ended; requests in progress go on. */
    remove(endpoint: string): void {
        this.closeIdleConnections(endpoint);
        this.agents.delete(endpoint);
    }

    close(): void {
        for (const agent of this.agents.values()) {
            agent.destroy();
        }
        this.agents.clear();
    }
}
