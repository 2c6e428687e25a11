import { MemoryEventLog } from "@lentilramp/runtime";
import { expect } from "chai";
import { connect } from "node:net";
import { defaultHttpServerOptions, HttpServer, readBody, sendJson } from "../src/index.ts";
import { collectYoungGarbage, liveBytes } from "./live-bytes.ts";

const requests = 4_000;
/** Far below the 4 KB that a request and its answer take of the heap. */
const keptBytesPerRequest = 1_024;

describe("HttpServer with requests that have been answered", () => {
    let server: HttpServer;

    beforeEach(async () => {
        server = new HttpServer({ ...defaultHttpServerOptions, host: "127.0.0.1", port: 0 }, new MemoryEventLog());
        server.route("POST", "/x", async (req, res) => {
            await readBody(req, 1_000);
            sendJson(res, 200, { ok: true });
        });
        await server.start();
    });

    afterEach(() => server.close());

    const send = async (count: number): Promise<void> => {
        const socket = connect(server.address.port, server.address.host);
        let left = count;
        await new Promise<void>((resolve, reject) => {
            const next = (): boolean => socket.write("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb");
            socket.on("error", reject).on("data", () => --left === 0 ? resolve() : next());
            next();
        });
        socket.destroy();
    };

    // Guards against requests that only a full collection frees, so that each collection of young objects copies all of
    // them; that was a quarter of the processor time of a server with small requests.
    it("keeps none of them through a collection of young objects", async () => {
        await send(100);
        // Moves what lasts, such as the tables of modules, into old space.
        liveBytes();
        const before = process.memoryUsage().heapUsed;
        await send(requests);
        collectYoungGarbage();
        expect(process.memoryUsage().heapUsed - before).to.be.below(requests * keptBytesPerRequest);
    });
});
