import type { Endpoint } from "@lentilramp/fleet";
import { Agent, type AgentOptions, type ClientRequest, type RequestOptions } from "node:http";
import type { Socket } from "node:net";

/**
 * Fraction of the endpoint's announced keep-alive time for which an idle connection is kept. Closing it well before the
 * endpoint does makes a reset on reuse rare.
 */
const usedIdleFraction = 0.5;
/** Idle time of connections to an endpoint that announces no keep-alive time, in milliseconds. */
const defaultIdleMs = 2_000;
/** Longest idle time of a connection, in milliseconds, whatever the endpoint announces. */
const maxIdleMs = 300_000;

/**
 * Connections to one endpoint. Closes an idle connection on which data arrives, because the bytes belong to no request.
 */
class EndpointAgent extends Agent {
    private readonly idleDataListeners = new WeakMap<Socket, () => void>();

    constructor(options: AgentOptions) {
        super({ ...options, keepAlive: true, scheduling: "lifo", noDelay: true } as AgentOptions);
    }

    override keepSocketAlive(
        socket: Socket & { _httpMessage?: { res?: { headers: Record<string, string | undefined>; }; }; },
    ): boolean {
        const announcedSeconds = /timeout=(\d+)/.exec(socket._httpMessage?.res?.headers["keep-alive"] ?? "")?.[1];
        const idleMs = announcedSeconds === undefined
            ? defaultIdleMs
            : Math.min(maxIdleMs, Number(announcedSeconds) * 1_000 * usedIdleFraction);
        if (idleMs === 0 || socket.readableLength > 0) {
            return false;
        }
        super.keepSocketAlive(socket);
        socket.setTimeout(idleMs);
        const onData = (): void => void socket.destroy();
        socket.once("data", onData);
        this.idleDataListeners.set(socket, onData);
        return true;
    }

    override reuseSocket(socket: Socket, req: ClientRequest): void {
        const onData = this.idleDataListeners.get(socket);
        if (onData !== undefined) {
            socket.off("data", onData);
            this.idleDataListeners.delete(socket);
        }
        super.reuseSocket(socket, req);
    }
}

/** Pools connections to endpoints, with one agent for each lifetime of an endpoint. */
export class EndpointPool {
    private readonly agents = new Map<string, EndpointAgent>();

    /** Returns the options with which `http.request` connects to the endpoint. */
    requestOptions(endpoint: Endpoint, maxIdleConnections: number): Pick<RequestOptions, "host" | "port" | "agent"> {
        let agent = this.agents.get(endpoint.id);
        if (agent === undefined) {
            agent = new EndpointAgent({ maxFreeSockets: maxIdleConnections });
            this.agents.set(endpoint.id, agent);
        }
        agent.maxFreeSockets = maxIdleConnections;
        return { host: endpoint.host, port: endpoint.port, agent };
    }

    /** Closes the idle connections to an endpoint, for example after a request on one of them timed out. */
    closeIdleConnections(endpoint: string): void {
        const agent = this.agents.get(endpoint);
        for (const sockets of Object.values(agent?.freeSockets ?? {})) {
            for (const socket of sockets ?? []) {
                socket.destroy();
            }
        }
    }

    /** Removes an endpoint whose lifetime has ended; requests in flight continue. */
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
