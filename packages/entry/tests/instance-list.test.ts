import { type EndpointObserver, InstanceListPoller, UpstreamClient } from "@lentilramp/entry";
import { SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

function withResolvers<T>() {
    let resolve: (value: T) => void = () => undefined;
    let reject: (err: Error) => void = () => undefined;
    const promise = new Promise<T>((onResolve, onReject) => {
        resolve = onResolve;
        reject = onReject;
    });
    return { promise, resolve: (value: T) => resolve(value), reject: (err: Error) => reject(err) };
}

describe("InstanceListPoller", () => {
    // Guards against notices of instances that leave and are not followed because of one odd entry of the list.
    it("follows the other entries of a list with one that cannot be read", async () => {
        const deep = "[".repeat(100_000) + "]".repeat(100_000);
        const odd = [`{"id":7,"state":"live"}`, `{"id":"x"}`, "7", `{"id":"x","state":1e400}`, deep];
        const server = createServer((req, res) => {
            req.resume();
            res.end(`{"instances":[${odd.join(",")},{"id":"a","state":"leaving"},{"id":"b","state":"live"}]}`);
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const clock = new SystemClock();
        const { promise, resolve, reject } = withResolvers<ReadonlySet<string>>();
        class ObservedPoller extends InstanceListPoller {
            protected override onFailure(): void {
                reject(new Error("the list was not followed"));
            }
        }
        const observer: Pick<EndpointObserver, "setLeaving"> = { setLeaving: resolve };
        const url = new URL(`http://127.0.0.1:${port}/instances`);
        const poller = new ObservedPoller(url, observer as EndpointObserver, new UpstreamClient(clock), clock);
        await poller.start();
        const leaving = await promise.finally(() => poller.close());
        server.closeAllConnections();
        server.close();
        expect([...leaving]).to.deep.equal(["a"]);
    });
});
