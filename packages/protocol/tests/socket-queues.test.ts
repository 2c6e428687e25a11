import { expect } from "chai";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { unacknowledgedBytes, untakenBytes } from "../src/socket-queues.ts";

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

describe("socket queues", () => {
    let server: Server;
    let reader: Socket;
    let writer: Socket;

    for (const host of ["127.0.0.1", "::1"]) {
        describe(`at ${host}`, () => {
            beforeEach(async function() {
                server = createServer();
                server.listen(0, host);
                const failed = await Promise.race([
                    once(server, "listening").then(() => false),
                    once(server, "error").then(() => true),
                ]);
                if (failed) {
                    // The machine has no such address.
                    this.skip();
                }
                reader = connect((server.address() as AddressInfo).port, host);
                reader.pause();
                [writer] = await once(server, "connection") as [Socket];
                writer.on("error", () => undefined);
            });

            afterEach(() => {
                reader?.destroy();
                writer?.destroy();
                server.close();
            });

            // Guards against a caller that seems to take nothing, since one large write is still in progress.
            it("count what is left of a write in progress, and what the other side has not acknowledged", async () => {
                const bytes = 30_000_000;
                writer.write(Buffer.alloc(bytes / 2));
                writer.write(Buffer.alloc(bytes / 2));
                await sleep(100);
                expect(writer.writableLength).to.equal(bytes);
                const untaken = untakenBytes(writer);
                expect(untaken).to.be.within(1, bytes - 1);
                const queued = (await unacknowledgedBytes([writer, reader])).get(writer);
                if (process.platform === "linux") {
                    expect(queued).to.be.within(1, bytes - untaken);
                }
                reader.on("readable", () => undefined);
                for (let i = 0; i < 10; i++) {
                    reader.read();
                    await sleep(20);
                }
                if (process.platform === "linux") {
                    expect((await unacknowledgedBytes([writer])).get(writer)).not.to.equal(queued);
                }
                reader.removeAllListeners("readable").resume();
                while (writer.writableLength > 0) {
                    await sleep(5);
                }
                expect(untakenBytes(writer)).to.equal(0);
            });
        });
    }

    it("tell nothing of a closed connection", async () => {
        const closed = connect(1, "127.0.0.1");
        await once(closed, "error");
        expect(untakenBytes(closed)).to.equal(0);
        expect((await unacknowledgedBytes([closed])).size).to.equal(0);
    });
});
