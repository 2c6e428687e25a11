import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";

/** How an answer with a body gives its length. */
export const framings = ["no length", "chunked", "content-length"] as const;
export type Framing = typeof framings[number];

/** When an endpoint resets the connection, relative to the last bytes that it writes. */
export const resets = ["before", "with", "after"] as const;
export type Reset = typeof resets[number];

/** What an endpoint writes for one request; `head` is the head of the request. */
export type RawAnswer = (socket: Socket, head: string) => void;

/** An endpoint on a raw socket. It answers as soon as it has the head of a request. */
export class RawEndpoint {
    /** Number of requests received. */
    received = 0;
    private readonly sockets: Socket[] = [];

    private constructor(private readonly server: Server) {}

    /** Starts an endpoint that gives the n-th request on each connection the n-th answer, and the last one after that. */
    static async start(answers: readonly RawAnswer[], readsUpload = true): Promise<RawEndpoint> {
        const server = createServer();
        const endpoint = new RawEndpoint(server);
        server.on("connection", socket => {
            endpoint.sockets.push(socket);
            socket.on("error", () => undefined);
            let pending = "";
            let awaitedBytes = 0;
            let requests = 0;
            socket.on("data", data => {
                const skipped = Math.min(awaitedBytes, data.length);
                awaitedBytes -= skipped;
                pending += data.subarray(skipped).toString("latin1");
                const end = pending.indexOf("\r\n\r\n");
                if (end < 0) {
                    return;
                }
                const head = pending.slice(0, end);
                const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
                awaitedBytes = Math.max(0, length - (pending.length - end - 4));
                pending = "";
                endpoint.received++;
                if (!readsUpload) {
                    socket.pause();
                }
                answers[Math.min(requests++, answers.length - 1)]?.(socket, head);
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        return endpoint;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    close(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }
}

/** Returns a success of which a part of the body, in `framing`, is written before the connection is reset. */
export function brokenAnswer(framing: Framing, reset: Reset, part: string, headLines: HeadLines = () => []): RawAnswer {
    const length: Record<Framing, readonly string[]> = {
        "no length": [],
        chunked: ["Transfer-Encoding: chunked"],
        "content-length": [`Content-Length: ${part.length * 2}`],
    };
    const body = framing === "chunked" ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
    return (socket, head) => {
        const text = ["HTTP/1.1 200 OK", ...headLines(head), ...length[framing], "", body].join("\r\n");
        const breakOff = (): void => void socket.resetAndDestroy();
        switch (reset) {
            case "before":
                socket.write(text);
                return breakOff();
            case "with":
                return void socket.write(text, breakOff);
            case "after":
                return void socket.write(text, () => setTimeout(breakOff, 30));
        }
    };
}

/** Returns a whole answer with a status as it stands in the first line. */
export function answerWithStatus(status: string, body: string, headLines: HeadLines = () => []): RawAnswer {
    return (socket, head) =>
        void socket.write(
            [`HTTP/1.1 ${status} X`, ...headLines(head), `Content-Length: ${body.length}`, "", body].join("\r\n"),
        );
}

/** Further lines of an answer's head, from the head of the request. */
type HeadLines = (head: string) => readonly string[];

/** Statuses that are not those of an answer. */
export const invalidStatuses = ["000", "099", "600", "999", "1000", "20"];
