import { JsonClient } from "@lentilramp/protocol";
import { SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { PlatformClient } from "../../src/placement/platform-client.ts";

const instance = { id: "a", failureDomain: "d", machineClass: "m", market: "reclaimable", state: "live" };
const notice = { sequence: 4, instanceId: "a", reclaimAt: 5 };

describe("PlatformClient", () => {
    const clock = new SystemClock();
    let server: Server;
    let client: JsonClient;
    let body: unknown;

    beforeEach(async () => {
        server = createServer((req, res) => {
            req.resume();
            res.end(JSON.stringify(body));
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        client = new JsonClient(clock);
    });

    afterEach(() => {
        client.close();
        server.close();
    });

    // Guards against instances and notices that are not followed any more because of one odd entry.
    it("leaves out single instances and notices that cannot be read", async () => {
        const { port } = server.address() as AddressInfo;
        const platform = new PlatformClient(client, `http://127.0.0.1:${port}`, undefined);
        body = { instances: [{ ...instance, id: 7 }, instance, { ...instance, market: "later" }, "x"] };
        expect(await platform.instances(clock.now() + 2_000)).to.deep.equal([instance]);
        body = { notices: [{ ...notice, sequence: 1e300 }, { ...notice, reclaimAt: "soon" }, [], notice] };
        expect(await platform.notices(3, clock.now() + 2_000)).to.deep.equal([notice]);
    });
});
