import { configurationSchema } from "@lentilramp/configuration";
import { InFlightCounter } from "@lentilramp/control";
import { ProcessKey, RpcClient } from "@lentilramp/protocol";
import { SystemClock } from "@lentilramp/runtime";
import { expect } from "chai";

const clock = new SystemClock();

function configurationWith(entries: readonly { id: string; host: string; port: number; failureDomain: string; }[]) {
    return configurationSchema.parse({
        region: "r",
        costWeight: 0,
        failureDomains: [{ id: "a", region: "r" }],
        entries: [...entries],
    });
}

describe("InFlightCounter", () => {
    const client = new RpcClient(new ProcessKey("test-key-0123456789"), clock);
    after(() => client.close());

    // An entry that was not counted may still have requests in flight. A count without it would allow the hand-over
    // step `released` too early.
    it("returns undefined without entries or if an entry does not respond, so no hand-over ends early", async () => {
        const survey = new InFlightCounter(client, clock);
        expect(await survey.count(configurationWith([]), "endpoint", "x")).to.equal(undefined);
        const closed = { id: "e", host: "127.0.0.1", port: 1, failureDomain: "a" };
        expect(await survey.count(configurationWith([closed]), "endpoint", "x")).to.equal(undefined);
    });
});
