import { expect } from "chai";
import type { Run } from "../soak/soak-endpoint.ts";
import type { Version } from "./calm-catalog.ts";
import { brokenConfiguration, type ConfigurationSeen } from "./configuration.ts";
import type { CalmCall } from "./losses.ts";

describe("judge of configurations", () => {
    const version = (number: number, confirmedAt: number, routes: Record<string, string[]>): Version => ({
        number,
        body: "",
        what: "",
        idleMs: 2_000,
        timeouts: new Map(Object.keys(routes).map(name => [name, 1_000])),
        services: new Map(Object.entries(routes).map(([name, services]) => [name, new Set(services)])),
        workspaces: new Map([["key-w", "w"]]),
        sentAt: confirmedAt - 50,
        confirmedAt,
    });
    const versions = [version(1, 1_000, { a: ["app"] }), version(2, 20_000, { a: ["model"], b: ["app"] })];
    const call: CalmCall = {
        id: "r1",
        kind: "safe",
        sentAt: 22_100,
        endedAt: 22_110,
        ingress: 0,
        status: 404,
        seal: undefined,
        body: "",
        complete: true,
        habit: "plain",
        path: "/b/r1/bytes.length.9",
        workspace: "w",
        key: "key-w",
        sentBody: "",
        wholeAnswer: "",
        route: "b",
        connection: "c1",
        earlier: 0,
        idleMs: 0,
        wholeAt: 22_100,
        received: 9,
        ending: "answered",
        budgetMs: 6_000,
        limits: { least: 1_000, most: 1_000 },
    };
    const runBy = (service: string, { id, sentAt }: CalmCall): Run => ({
        at: sentAt + 5,
        id,
        path: "",
        workspace: "w",
        body: "",
        endpoint: `i-${service}-1`,
    });
    const judge = (calls: CalmCall[], seen: Partial<ConfigurationSeen> = {}): string => {
        const lives = [{ ingress: 0, startedAt: 0, stoppedAt: undefined }];
        return brokenConfiguration({ calls, runs: [], versions, lives, coreEvents: [], ...seen }).join("\n");
    };

    it("reports an added route that is refused after the bound, at an ingress in touch", () => {
        expect(judge([call])).to.contain("r1 route=b").and.contain("how=404").and.contain("due=2");
        expect(judge([{ ...call, sentAt: 21_900 }])).to.equal("");
        expect(judge([call], { lives: [{ ingress: 0, startedAt: 20_000, stoppedAt: undefined }] })).to.equal("");
        expect(judge([call], { lives: [{ ingress: 0, startedAt: 0, stoppedAt: 22_050 }] })).to.equal("");
    });

    it("stretches the bound while the core is unstable, and not for longer", () => {
        expect(judge([call], { coreEvents: [18_000] })).to.equal("");
        expect(judge([call], { coreEvents: [16_000] })).to.contain("r1");
        expect(judge([{ ...call, sentAt: 27_100, endedAt: 27_110 }], { coreEvents: [18_000] })).to.contain("r1");
    });

    it("reports a request that the old service of a moved route runs", () => {
        const moved = { ...call, route: "a", status: 200 };
        expect(judge([moved], { runs: [runBy("app", moved)] })).to.contain("how=run by app");
        expect(judge([moved], { runs: [runBy("model", moved)] })).to.equal("");
    });

    it("reports a process that regresses, also within the bound", () => {
        const newer = { ...call, id: "r1", route: "a", status: 200, sentAt: 20_100, endedAt: 20_110 };
        const older = { ...newer, id: "r2", sentAt: 20_400, endedAt: 20_410 };
        const runs = [runBy("model", newer), runBy("app", older)];
        expect(judge([newer, older], { runs })).to.contain("regressed").and.contain("r2");
        expect(judge([newer, { ...older, ingress: 1 }], { runs })).to.equal("");
    });

    it("reports at any ingress what no configuration of the run would do", () => {
        const lives = [{ ingress: 0, startedAt: 22_000, stoppedAt: 22_050 }];
        expect(judge([{ ...call, route: "a" }], { lives })).to.contain("newest=none");
        expect(judge([{ ...call, status: 401 }], { lives })).to.contain("how=401");
    });

    it("reports added routes that are hardly served while others are", () => {
        const calls = Array.from({ length: 40 }, (...[, i]) => ({
            ...call,
            id: `r${i}`,
            route: i < 20 ? "a" : "b",
            status: i < 20 ? 200 : 503,
        }));
        expect(judge(calls)).to.contain("added routes are not served");
    });

    it("reports requests that have no answer half a second after their time limit", () => {
        const calls = Array.from({ length: 8 }, (...[, i]) => ({
            ...call,
            id: `r${i}`,
            status: undefined,
            endedAt: call.sentAt + 1_600,
        }));
        expect(judge(calls)).to.contain("no answer 500 ms after the time limit: 8 of 8");
        expect(judge(calls.slice(1))).to.equal("");
    });
});
