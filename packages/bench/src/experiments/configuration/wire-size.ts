import { createJSONRPCRequest, createJSONRPCSuccessResponse } from "json-rpc-2.0";
import { Agent, createServer, request } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Bytes of HTTP headers in one exchange on a persistent connection. */
export interface HttpOverhead {
    requestBytes: number;
    responseBytes: number;
}

/** Bytes of an RPC key as sent in the authorization header: 32 bytes in base64url. */
const keyText = "k".repeat(43);
const body = JSON.stringify({ size: "of no importance" });

async function exchange(agent: Agent, port: number): Promise<Socket> {
    return new Promise((resolve, reject) => {
        const headers = {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
            "authorization": `Bearer ${keyText}`,
        };
        const req = request({ agent, host: "127.0.0.1", port, path: "/rpc", method: "POST", headers }, res => {
            const { socket } = res;
            res.resume().on("end", () => resolve(socket));
        });
        req.on("error", reject).end(body);
    });
}

/** Measures the headers of a JSON-RPC exchange with Node's HTTP client and server over the loopback interface. */
export async function measureHttpOverhead(): Promise<HttpOverhead> {
    const server = createServer((req, res) => {
        req.resume().on("end", () => {
            res.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
            res.end(body);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    try {
        const { port } = server.address() as AddressInfo;
        await exchange(agent, port);
        const socket = await exchange(agent, port);
        const bodies = 2 * Buffer.byteLength(body);
        return {
            requestBytes: (socket.bytesWritten - bodies) / 2,
            responseBytes: (socket.bytesRead - bodies) / 2,
        };
    }
    finally {
        agent.destroy();
        await new Promise(resolve => server.close(resolve));
    }
}

/** IPv4 and TCP headers with time stamps. */
const segmentHeaderBytes = 52;
const segmentPayloadBytes = 1_448;

/** Returns the bytes of a message on the wire, with the TCP headers of its segments and of their acknowledgements. */
export function tcpBytes(payloadBytes: number): number {
    const segments = Math.ceil(payloadBytes / segmentPayloadBytes);
    const acknowledgements = Math.ceil(segments / 2);
    return payloadBytes + (segments + acknowledgements) * segmentHeaderBytes;
}

/** Sizes of `configuration.subscribe` messages. Bodies are encoded for real; equal answers are encoded once. */
export class MessageSizes {
    private readonly parts = new WeakMap<object, number>();

    constructor(private readonly http: HttpOverhead) {}

    request(id: number, params: unknown): number {
        const text = JSON.stringify(createJSONRPCRequest(id, "configuration.subscribe", params));
        return tcpBytes(Buffer.byteLength(text) + this.http.requestBytes);
    }

    /** `shared` holds the parts of the answer that are the same object for many receivers. */
    response(
        id: number,
        answer: object,
        shared: Readonly<Record<string, object | readonly object[] | undefined>>,
    ): number {
        let bytes = Buffer.byteLength(JSON.stringify(createJSONRPCSuccessResponse(id, answer)));
        for (const [name, part] of Object.entries(shared)) {
            if (part !== undefined) {
                bytes += `,"${name}":`.length + this.partBytes(part);
            }
        }
        return tcpBytes(bytes + this.http.responseBytes);
    }

    private partBytes(part: object | readonly object[]): number {
        if (Array.isArray(part)) {
            const commas = Math.max(0, part.length - 1);
            return 2 + commas + (part as object[]).reduce((sum, item) => sum + this.partBytes(item), 0);
        }
        let bytes = this.parts.get(part);
        if (bytes === undefined) {
            bytes = Buffer.byteLength(JSON.stringify(part));
            this.parts.set(part, bytes);
        }
        return bytes;
    }
}
