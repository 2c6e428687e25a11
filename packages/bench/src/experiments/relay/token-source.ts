/**
 * Process that answers chat requests with one token event each INTERVAL ms. One timer serves all streams, so that the
 * source costs little beside the relay that is measured.
 */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

interface Stream {
    res: ServerResponse;
    id: string;
    sent: number;
    total: number;
}

const intervalMs = Number(process.argv[2]);
const streams = new Set<Stream>();

function sendToken(stream: Stream): void {
    const offset = stream.sent++;
    const chunk = `{"id":"${stream.id}","object":"chat.completion.chunk","model":"desk-model","token_offset":${offset},`
        + `"choices":[{"index":0,"delta":{"content":" word${offset % 100}"}}]}`;
    stream.res.write(`id: ${stream.sent}\ndata: ${chunk}\n\n`);
    if (stream.sent === stream.total) {
        stream.res.end("data: [DONE]\n\n");
        streams.delete(stream);
    }
}

const server = createServer((req, res) => {
    if (req.method !== "POST") {
        res.writeHead(404, { "content-type": "application/json" }).end("{}");
        return;
    }
    let body = "";
    req.on("data", part => body += String(part));
    req.on("end", () => {
        const { max_tokens: total } = JSON.parse(body) as { max_tokens: number; };
        res.writeHead(200, { "content-type": "text/event-stream" });
        const stream = { res, id: String(req.headers["x-request-id"] ?? "r"), sent: 0, total };
        res.on("close", () => streams.delete(stream));
        sendToken(stream);
        streams.add(stream);
    });
});
server.keepAliveTimeout = 60_000;
server.listen(0, "127.0.0.1", () => process.send?.({ port: (server.address() as AddressInfo).port }));

// Ten phases spread the tokens of all streams over the interval.
const phases = 10;
let phase = 0;
setInterval(() => {
    let i = 0;
    for (const stream of streams) {
        if (i++ % phases === phase) {
            sendToken(stream);
        }
    }
    phase = (phase + 1) % phases;
}, intervalMs / phases);
