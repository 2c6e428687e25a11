/** Process that relays each request to one of the sources and pipes the answer back: the least that a relay can do. */
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";

const ports = process.argv.slice(2).map(Number);
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
let next = 0;

const server = createServer((req, res) => {
    const port = ports[next++ % ports.length];
    const upstream = request({
        host: "127.0.0.1",
        port,
        path: req.url,
        method: req.method,
        headers: req.headers,
        agent,
    }, answer => {
        res.writeHead(answer.statusCode ?? 502, answer.headers);
        answer.pipe(res);
    });
    upstream.on("error", () => res.destroy());
    res.on("close", () => upstream.destroy());
    req.pipe(upstream);
});
server.keepAliveTimeout = 60_000;
server.listen(0, "127.0.0.1", () => process.send?.({ port: (server.address() as AddressInfo).port }));
process.on("message", () => process.send?.({ cpu: process.cpuUsage(), residentBytes: process.memoryUsage.rss() }));
