import type { WhereAnswer } from "@lentilramp/exchange";
import { expect } from "chai";
import { build } from "esbuild";
// @ts-expect-error The build scripts are plain JavaScript without declarations.
import { bundleOptions } from "../../../scripts/bundle-options.mjs";
import { formatWhere, toWhereRequest, type WhereOptions, withTypedNames } from "../src/commands/where.ts";
import { CommandError, exitCodes } from "../src/exit-codes.ts";

function errorOf(options: WhereOptions): string {
    try {
        toWhereRequest(options);
        return "none";
    }
    catch (err) {
        return err instanceof CommandError && err.exitCode === exitCodes.usage ? err.message : String(err);
    }
}

const answer: WhereAnswer = {
    ingress: { name: "front-1", ready: true, stopping: false, cutOff: false },
    catalogVersion: 4,
    route: "r",
    rank: 1,
    cases: [{
        service: "app",
        share: 0.25,
        rollout: "others",
        level: { admittedShare: 0.6, ranks: [[1, 0.6]], clearMs: 500, ageMs: 120.4, applies: true },
        queuedAhead: 0,
        decision: { kind: "send" },
        choice: "e1",
        endpoints: [
            {
                id: "e1",
                failureDomain: "a",
                version: "v1",
                state: "ready",
                running: 2,
                unreadTokens: 0,
                slots: 4,
                estimate: { factor: 1.234, fullAt: 3, ageMs: 80.2 },
                prediction: { firstByteMs: 99.6, idleFirstByteMs: 80, unreadTokens: 0, onTime: true, score: 180 },
                verdict: "may-be-chosen",
            },
            {
                id: "e2",
                failureDomain: "b",
                version: "",
                state: "leaving",
                running: 0,
                unreadTokens: 0,
                slots: 4,
                verdict: "leaving",
            },
        ],
        omitted: 3,
    }],
};

describe("options of lentilramp where", () => {
    it("become the request that the ingress is asked about", () => {
        expect(toWhereRequest({ route: "r" })).to.deep.equal({
            route: "r",
            workspace: undefined,
            rank: undefined,
            promptTokens: undefined,
            parts: [],
            sizeBytes: undefined,
        });
        // The command line turns names that look like numbers into numbers.
        const all = { route: 7, workspace: 8, rank: 0, promptTokens: 1_200, prefix: "p:1000, own:200", size: 12 };
        expect(toWhereRequest(all)).to.deep.equal({
            route: "7",
            workspace: "8",
            rank: 0,
            promptTokens: 1_200,
            parts: [{ id: "p", tokens: 1_000 }, { id: "own", tokens: 200 }],
            sizeBytes: 12,
        });
    });

    // Guards against an answer about another route: the command line reads 007 as the number 7, and 1e3 as 1000.
    it("take names as they were typed", () => {
        const options = { route: 7, workspace: 1_000, rank: 2 };
        const typed = (...argv: string[]): WhereOptions => withTypedNames(options, ["node", "cli", "where", ...argv]);
        expect(typed("--route", "007", "--workspace=1e3", "--rank", "02")).to.deep.equal({
            route: "007",
            workspace: "1e3",
            rank: 2,
        });
        expect(typed("--rank", "2", "--workspace", "1000", "--route=7.0")).to.include({ route: "7.0", rank: 2 });
        const twice = { route: [7, 8] };
        expect(withTypedNames(twice, ["--route", "07", "--route", "8"])).to.deep.equal(twice);
    });

    // Guards against options that are ignored or guessed at, so that the answer is about another request.
    it("are rejected with a message that names the option", () => {
        const number = "must be a whole number from 0 to 1000000000, not";
        expect(errorOf({})).to.equal("give --route NAME");
        expect(errorOf({ route: ["a", "b"] })).to.equal("--route must be one name");
        expect(errorOf({ route: "" })).to.equal("--route must be one name");
        expect(errorOf({ route: "r", workspace: true })).to.equal("--workspace must be one name");
        expect(errorOf({ route: "r", rank: "high" })).to.equal(`--rank ${number} "high"`);
        expect(errorOf({ route: "r", rank: -1 })).to.equal(`--rank ${number} -1`);
        expect(errorOf({ route: "r", rank: 1.5 })).to.equal(`--rank ${number} 1.5`);
        expect(errorOf({ route: "r", rank: [1, 2] })).to.equal(`--rank ${number} [1,2]`);
        expect(errorOf({ route: "r", promptTokens: 1e10 })).to.equal(`--prompt-tokens ${number} 10000000000`);
        expect(errorOf({ route: "r", size: "1k" })).to.equal(`--size ${number} "1k"`);
        for (const prefix of ["p", "p:", ":3", "p:x", "p:1,,q:2", "p:-1"]) {
            expect(errorOf({ route: "r", prefix }), prefix).to.match(/^--prefix must list parts as ID:TOKENS, not /);
        }
        expect(errorOf({ route: "r", prefix: "p:99999999999" })).to.match(/^tokens in --prefix must be a whole number/);
    });
});

describe("output of lentilramp where", () => {
    it("shows level, decision and each endpoint with its verdict", () => {
        expect(formatWhere(answer)).to.deep.equal([
            "ingress front-1: ready; configuration 4",
            "route r, workspace -, rank 1",
            "",
            "service app: 25% of such requests, roll-out: other versions",
            "admission level: 60% of such requests admitted, age 120 ms, applies; rank 1 60%",
            "waiting ahead: 0",
            "decision: send to e1",
            "endpoint  domain  version  state    running  slots  unread  estimate          age    first byte  verdict",
            "e1        a       v1       ready    2        4      0       x1.23, full at 3  80 ms  100 ms      may-be-chosen",
            "e2        b       -        leaving  0        4      0       -                 -      -           leaving",
            "3 more endpoints are not listed",
        ]);
    });

    it("shows refusals, waits and draws", () => {
        const [first] = answer.cases;
        const lines = (change: object): string[] =>
            formatWhere({
                ...answer,
                ingress: { name: "front-1", ready: false, stopping: true, cutOff: true },
                refusal: { status: 413, reason: "body too large" },
                cases: first === undefined ? [] : [{ ...first, ...change }],
            });
        const refused = lines({ decision: { kind: "refuse", reason: "overload", retryAfterMs: 60 }, level: undefined });
        expect(refused).to.include.members([
            "ingress front-1: not ready, stopping, reaches no endpoint, requests go to another ingress; configuration 4",
            "refused before an endpoint is chosen: 413 body too large",
            "admission level: none",
            "decision: refuse: overload, retry after at least 60 ms; best: e1",
        ]);
        expect(lines({ decision: { kind: "wait", waitMs: 320 } })).to.include(
            "decision: wait for up to 320 ms; best: e1",
        );
        expect(lines({ decision: { kind: "wait", reason: "endpoint-limit", waitMs: 400 }, choice: undefined })).to
            .include("decision: wait for up to 400 ms (endpoint-limit)");
        const endpoints = ["e1", "e3"].map(id => ({ ...first?.endpoints[0], id }));
        expect(lines({ endpoints })).to.include("decision: send to e1 (drawn among 2 that are nearly as good)");
    });
});

describe("bundle of the processes of a fleet", function() {
    this.timeout(60_000);

    // Each module costs processor time of every process after a loss of power.
    it("contains no module of the command", async () => {
        const { metafile } = await build({
            ...bundleOptions("0.0.0-test"),
            entryPoints: ["packages/cli/src/launcher/fleet-main.ts"],
            outfile: "unwritten.cjs",
            write: false,
            metafile: true,
        });
        const inputs = Object.keys(metafile?.inputs ?? {});
        expect(inputs).to.include("packages/cli/src/commands/fleet.ts");
        expect(inputs).not.to.include("packages/cli/src/commands/where.ts");
        expect(inputs).not.to.include("packages/cli/src/operator-client.ts");
    });
});
