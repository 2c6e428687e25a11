import { type Endpoint, EndpointDirectory } from "@lentilramp/fleet";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";

const services = ["app", "model", "unlisted"];

describe("EndpointDirectory with an index by id", () => {
    // Guards against an index that outlives its list, or an announcement that an endpoint leaves.
    it("finds endpoints by id as a search of the list does, while lists change and endpoints leave", () => {
        const random = new SeededRandom(1);
        const directory = new EndpointDirectory();
        const leaving = new Map<string, number | undefined>();
        const ids = [...Array(12).keys()].map(i => `e${i}`);
        let list: Endpoint[] = [];
        let available = 0;
        for (let i = 0; i < 2_000; i++) {
            const change = random.nextInt(4);
            const id = ids[random.nextInt(ids.length)] ?? "";
            if (change === 0) {
                list = ids.filter(() => random.next() < 0.8).map(id => ({
                    id,
                    service: services[random.nextInt(2)] ?? "",
                    host: "10.0.0.1",
                    port: 80,
                    failureDomain: "a",
                    slots: 4,
                    ready: random.next() < 0.8,
                    reclaimable: false,
                    startedAt: random.nextInt(2),
                }));
                directory.update(list, i);
                const startTimes = new Map(list.map(({ id, startedAt }) => [id, startedAt]));
                [...leaving].filter(([id, startedAt]) => startTimes.get(id) !== startedAt)
                    .forEach(([id]) => leaving.delete(id));
            }
            else if (change === 1 && directory.markLeaving(id)) {
                leaving.set(id, list.find(entry => entry.id === id)?.startedAt);
            }
            for (const id of ids) {
                const listed = list.find(entry => entry.id === id);
                const isAvailable = listed?.ready === true && !leaving.has(id);
                expect(directory.isReady(id)).to.equal(listed?.ready === true);
                expect(directory.isAvailable(id)).to.equal(isAvailable);
                for (const service of services) {
                    const readyIds = directory.readyIds(service);
                    expect(readyIds.has(id)).to.equal(isAvailable && listed.service === service);
                    expect(readyIds.size).to.equal(directory.readyEndpoints(service).length);
                }
                available += isAvailable ? 1 : 0;
            }
        }
        expect(available).to.be.above(5_000);
    });
});
