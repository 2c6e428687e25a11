import { expect } from "chai";
import { loopbackNet } from "./loopback-net.ts";

describe("loopbackNet", () => {
    // Guards against two test processes on one machine whose fleets have the same addresses: each PUTs its configuration
    // to the other's steward, and its ordinary requests get a 404. With the process id modulo 250 this happened to any
    // two of them once in 250 times.
    it("gives test processes with other ids other addresses", () => {
        const pids = Array.from({ length: 32_768 }, (...[, i]) => i + 1);
        expect(new Set(pids.map(loopbackNet)).size).to.equal(pids.length);
        expect(pids.map(loopbackNet)).not.to.include("127.0.0");
    });
});
