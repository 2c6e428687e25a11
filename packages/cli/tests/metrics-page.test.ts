import { PrometheusMetrics } from "@lentilramp/runtime";
import { expect } from "chai";
import { readFileSync } from "node:fs";
import { fleetMetrics } from "../src/fleet-metrics.ts";

describe("docs/OPERATIONS.md", () => {
    // Guards against metrics that operators see but cannot look up, and against names that nothing exposes.
    it("lists exactly the metrics that the processes of a fleet serve", async () => {
        const page = readFileSync("docs/OPERATIONS.md", "utf8");
        const documented = new Set(
            [...page.slice(page.indexOf("## Metrics")).matchAll(/`(lentilramp_\w+)/g)].map(([, name]) => name),
        );
        const metrics = new PrometheusMetrics(fleetMetrics);
        const served = new Set([...(await metrics.render()).matchAll(/^# TYPE (\w+) /gm)].map(([, name]) => name));
        expect([...documented].sort()).to.deep.equal([...served].sort());
    });

    it("serves durations in seconds", async () => {
        const metrics = new PrometheusMetrics(fleetMetrics);
        metrics.timing("first_byte", 250, { execution: "stream" });
        expect(await metrics.render()).to.include('lentilramp_first_byte_seconds_sum{execution="stream"} 0.25');
    });
});
