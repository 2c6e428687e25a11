import { expect } from "chai";
import { connect } from "node:net";
import { ScriptedEndpoint } from "./ingress-harness.ts";

describe("ScriptedEndpoint", () => {
    // Guards against an unhandled rejection, which fails whichever test runs, when an ingress resets a connection.
    it("resolves the promise of a closed connection when that is reset", async () => {
        const endpoint = new ScriptedEndpoint("e1", () => undefined);
        await endpoint.start();
        try {
            const { host, port } = endpoint.endpoint;
            const socket = connect({ host, port });
            socket.write("GET /x HTTP/1.1\r\nHost: desk.example\r\n\r\n");
            while (endpoint.requests.length === 0) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            socket.resetAndDestroy();
            expect(await endpoint.requests[0]?.closed.then(() => "closed", () => "rejected")).to.equal("closed");
        }
        finally {
            endpoint.close();
        }
    });
});
