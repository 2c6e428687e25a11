import { expect } from "chai";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { testCatalog, testRoute } from "../../catalog/tests/fixtures.ts";
import { IngressHarness, ScriptedEndpoint } from "./ingress-harness.ts";

const eventCount = 100;
/** Large enough that a caller that does not read stops the endpoint through all buffers between them. */
const eventBytes = 120_000;

/** Writes events as fast as they are read. */
function writeEvents(res: ServerResponse, first: number): void {
    let next = first;
    const more = (): void => {
        while (next <= eventCount && !res.destroyed) {
            const flows = res.write(`id: ${next}\ndata: ${"x".repeat(eventBytes)}\n\n`);
            next++;
            if (!flows) {
                return;
            }
        }
        res.end();
    };
    res.on("drain", more);
    more();
}

describe("Relay with slow callers", () => {
    // Guards against a caller's pause that is taken for silence of the endpoint: the sound endpoint is blamed, and the
    // stream is cut.
    it("does not count a stream as stalled while its caller does not read", async () => {
        const endpoint = new ScriptedEndpoint("e1", (req, res) => {
            res.writeHead(200, { "x-attempt-id": String(req.headers["x-attempt-id"]), "x-response-seal": "s" });
            writeEvents(res, 1);
        });
        await endpoint.start();
        const route = testRoute({ execution: "stream", resumable: true, gapTargetMs: 50, timeoutMs: 10_000 });
        const ingress = await IngressHarness.start(testCatalog({ routes: [route] }), [endpoint]);
        const received = await new Promise<string>(resolve => {
            const ends: string[] = [];
            let paused = false;
            const socket = connect(ingress.options.callers.port, "127.0.0.1", () =>
                socket.write(
                    "GET /x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: a\r\nApi-Key: key-1\r\n"
                        + "X-Deadline-Ms: 9000\r\nConnection: close\r\n\r\n",
                ));
            socket.on("data", piece => {
                ends.push(piece.toString("latin1").slice(-10));
                if (!paused) {
                    paused = true;
                    socket.pause();
                    // Several times the pause between events after which a stream counts as stalled.
                    setTimeout(() => socket.resume(), 600);
                }
            });
            socket.on("error", () => undefined);
            socket.on("close", () => resolve(ends.join("")));
        });
        const cuts = ingress.log.events.filter(({ name }) => name === "caller.cut" || name === "request.send-failed");
        await ingress.close();
        endpoint.close();
        expect(cuts).to.deep.equal([]);
        expect(received).to.match(/\r\n0\r\n\r\n$/);
        expect(endpoint.requests).to.have.length(1);
    });
});
