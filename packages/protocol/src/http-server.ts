import { type Clock, Component, type EventLog } from "@lentilramp/runtime";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { ClientGuard } from "./client-guard.ts";
import { ClientRefusedError } from "./client-request.ts";
import { DueAnswers } from "./due-answers.ts";
import { BodyTooLargeError, IncompleteBodyError } from "./read-body.ts";
import { UnreadAnswers } from "./unread-answers.ts";

/** Handles one request; resolves after the response has ended. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse, params: RouteParams) => Promise<void>;

/** URL-decoded path parameters by name. */
export type RouteParams = Readonly<Record<string, string>>;

interface Route {
    method: string;
    segments: readonly string[];
    handler: HttpHandler;
}

export interface HttpServerOptions {
    host: string;
    port: number;
    /** Maximum total size of the request headers, in bytes. */
    maxHeaderBytes: number;
    /** Time limit for receiving the request headers, in milliseconds. */
    headersTimeoutMs: number;
    /** Time limit for receiving the whole request, in milliseconds. */
    requestTimeoutMs: number;
    /** Part of the connections of the process that this server may hold; all of them if left out. */
    connectionPart?: number;
    /**
     * Time without progress after which a connection with unread answers is closed, in milliseconds; as at servers that
     * know the deadlines of their requests if left out.
     */
    unreadAnswerMs?: number;
}

export const defaultHttpServerOptions = {
    maxHeaderBytes: 16_384,
    headersTimeoutMs: 10_000,
    requestTimeoutMs: 30_000,
} as const;

/** Writes a JSON response and ends it. */
export function sendJson(
    res: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    if (res.headersSent || res.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headers,
    });
    res.end(text);
}

function matchRoute(route: Route, method: string, segments: readonly string[]): RouteParams | undefined {
    if (route.method !== method || route.segments.length !== segments.length) {
        return undefined;
    }
    const params: Record<string, string> = {};
    for (const [i, expected] of route.segments.entries()) {
        const actual = segments[i] ?? "";
        if (expected.startsWith(":")) {
            params[expected.slice(1)] = actual;
        }
        else if (expected !== actual) {
            return undefined;
        }
    }
    return params;
}

function splitPath(path: string): string[] | undefined {
    try {
        return path.split("/").slice(1).map(decodeURIComponent);
    }
    catch {
        return undefined;
    }
}

/**
 * HTTP server of a process, with a small route table. An unexpected error thrown by a handler is answered with status
 * 500 without details.
 */
export class HttpServer extends Component {
    readonly name = "http-server";
    private readonly routes: Route[] = [];
    private readonly server: Server;
    private readonly sockets = new Map<Socket, DueAnswers>();
    private closedBytesRead = 0;
    private closedBytesWritten = 0;
    private inFlight = 0;
    private onIdle: (() => void) | undefined;
    private readonly clock: Clock;

    constructor(
        private readonly options: HttpServerOptions,
        private readonly log: EventLog,
        /** Bounds of the clients of all servers of the process. */
        private readonly guard = new ClientGuard(),
    ) {
        super();
        this.clock = guard.clock;
        const unreadAnswers = new UnreadAnswers(
            this.clock,
            socket => this.sockets.get(socket)?.endedAt ?? -Infinity,
            (...[, untakenBytes]) => log.info("http.answer-unread", { untakenBytes }),
            options.unreadAnswerMs,
        );
        this.server = createServer(
            {
                maxHeaderSize: options.maxHeaderBytes,
                headersTimeout: options.headersTimeoutMs,
                requestTimeout: options.requestTimeoutMs,
                noDelay: true,
                // The guard answers requests without it, after it has counted them.
                requireHostHeader: false,
            },
            guard.listener((req, res) => void this.handle(req, res)),
        );
        // Without this, Node.js ends the connection as soon as the client has closed its sending side.
        Object.assign(this.server, { httpAllowHalfOpen: true });
        guard.attach(this.server, options.connectionPart ?? 1);
        this.server.on("connection", socket => {
            this.sockets.set(socket, new DueAnswers());
            unreadAnswers.follow(socket);
            // Node.js calls it after an answer that announces the close, and would close unread bytes with it.
            socket.destroySoon = () => guard.closeSoon(socket);
            socket.once("close", () => {
                this.sockets.delete(socket);
                this.closedBytesRead += socket.bytesRead;
                this.closedBytesWritten += socket.bytesWritten;
            });
        });
        this.server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
            this.endBroken(socket as Socket, err.code === "HPE_HEADER_OVERFLOW");
        });
        // Without a listener, Node.js closes the connection at once, whatever answer is due on it.
        this.server.on("connect", (...[, socket]) => {
            guard.release(socket as Socket);
            this.endBroken(socket as Socket, false);
        });
    }

    /** Adds a route; path segments that start with ":" are parameters. */
    route(method: string, path: string, handler: HttpHandler): void {
        this.routes.push({ method, segments: path.split("/").slice(1), handler });
    }

    get address(): { host: string; port: number; } {
        const address = this.server.address() as AddressInfo;
        return { host: address.address, port: address.port };
    }

    /** Open connections, requests in flight and bytes transferred since the start; shown in the state dump. */
    get traffic(): { connections: number; inFlight: number; bytesRead: number; bytesWritten: number; } {
        let bytesRead = this.closedBytesRead;
        let bytesWritten = this.closedBytesWritten;
        for (const socket of this.sockets.keys()) {
            bytesRead += socket.bytesRead;
            bytesWritten += socket.bytesWritten;
        }
        return { connections: this.sockets.size, inFlight: this.inFlight, bytesRead, bytesWritten };
    }

    override async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host, () => {
                this.server.off("error", reject);
                resolve();
            });
        });
        this.log.info("http.listening", { ...this.address });
    }

    /**
     * Waits until no request is in flight. New requests are still handled, so that callers get a definite
     * rejection instead of a broken connection.
     */
    override async drain(): Promise<void> {
        if (this.inFlight > 0) {
            await new Promise<void>(resolve => this.onIdle = resolve);
        }
    }

    override async close(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    /** Ends a connection with bytes that are no request to handle, after the answers that are due on it. */
    private endBroken(socket: Socket, isHeadTooLarge: boolean): void {
        this.sockets.get(socket)?.endAfterLast(mayRefuse => {
            if (!socket.writable) {
                return;
            }
            if (!mayRefuse) {
                this.guard.closeSoon(socket);
                return;
            }
            const status = isHeadTooLarge ? "431 Request Header Fields Too Large" : "400 Bad Request";
            const type = isHeadTooLarge ? "headers-too-large" : "malformed-request";
            const body = JSON.stringify({
                error: { type, message: "the request could not be parsed", run: "not-run" },
            });
            this.guard.closeSoon(
                socket,
                `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${
                    Buffer.byteLength(body)
                }\r\nconnection: close\r\n\r\n${body}`,
            );
        });
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const answers = this.sockets.get(req.socket);
        answers?.add(res);
        this.inFlight++;
        try {
            await this.dispatch(req, res);
        }
        catch (err) {
            if (err instanceof BodyTooLargeError) {
                sendJson(res, 413, { error: { type: "body-too-large", message: err.message, run: "not-run" } }, {
                    connection: "close",
                });
                return;
            }
            if (err instanceof ClientRefusedError) {
                const { reason, status, retryAfterMs } = err;
                sendJson(res, status, { error: { type: "refused", message: reason, run: "not-run" } }, {
                    connection: "close",
                    ...retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1_000).toFixed(3) },
                });
                return;
            }
            if (err instanceof IncompleteBodyError) {
                res.destroy();
                return;
            }
            this.log.error("http.handler-failed", { url: req.url, error: String(err) });
            sendJson(res, 500, { error: { type: "internal", message: "internal error", run: "unknown" } });
            if (!res.writableEnded) {
                res.destroy();
            }
        }
        finally {
            this.inFlight--;
            answers?.recordEnd(this.clock.now());
            if (this.inFlight === 0) {
                this.onIdle?.();
            }
        }
    }

    private async dispatch(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const segments = splitPath((req.url ?? "/").split("?")[0] ?? "/");
        if (segments !== undefined) {
            for (const route of this.routes) {
                const params = matchRoute(route, req.method ?? "GET", segments);
                if (params !== undefined) {
                    await route.handler(req, res, params);
                    return;
                }
            }
        }
        req.resume();
        sendJson(res, 404, {
            error: { type: "unknown-route", message: `no route for ${req.method} ${req.url}`, run: "not-run" },
        });
    }
}
