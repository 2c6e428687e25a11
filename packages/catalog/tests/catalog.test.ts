import { checkCatalog, drawService, RouteTable, WorkspaceKeys } from "@lentilramp/catalog";
import { SeededRandom } from "@lentilramp/runtime";
import { expect } from "chai";
import fc from "fast-check";
import { testCatalog, testRoute, testWorkspace } from "./fixtures.ts";

describe("RouteTable", () => {
    const prefixes = ["/", "/a/", "/a/b/", "/a/bc/"];
    const table = new RouteTable(testCatalog({ routes: prefixes.map(pathPrefix => testRoute({ pathPrefix })) }));

    it("selects the longest matching prefix, so that no more general route handles the request", () => {
        expect(table.find("desk.example", "/a/b/c?x=/a/bc/")?.pathPrefix).to.equal("/a/b/");
        expect(table.find("desk.example", "/a/b")?.pathPrefix).to.equal("/a/");
        expect(table.find("DESK.example:8080", "/a/bc/")?.pathPrefix).to.equal("/a/bc/");
    });

    it("finds no route for another host, whose requests would reach the wrong services", () => {
        expect(table.find("other.example", "/a/b/c")).to.equal(undefined);
    });

    it("finds the same route as a search of all prefixes, for random paths", () => {
        const segment = fc.constantFrom("a", "b", "bc", "x");
        fc.assert(fc.property(fc.array(segment, { maxLength: 5 }), fc.boolean(), (segments, slash) => {
            const path = `/${segments.join("/")}${slash ? "/" : ""}`;
            const expected = prefixes.filter(prefix => path.startsWith(prefix)).sort((a, b) => b.length - a.length)[0];
            expect(table.find("desk.example", path)?.pathPrefix).to.equal(expected);
        }));
    });
});

describe("drawService", () => {
    it("never selects a target of weight 0, whose service must not run the request", () => {
        const route = testRoute({
            targets: [{ service: "app", weight: 90 }, { service: "none", weight: 0 }, { service: "model", weight: 10 }],
        });
        const random = new SeededRandom(7);
        const drawn = Array.from({ length: 2_000 }, () => drawService(route, random));
        expect(drawn).not.to.include("none");
        expect(drawn.filter(service => service === "model").length).to.be.within(130, 270);
    });
});

describe("checkCatalog", () => {
    it("accepts a valid catalog", () => {
        expect(checkCatalog(testCatalog())).to.equal(undefined);
        const keys = ["key-1", "key-1"];
        expect(checkCatalog(testCatalog({ workspaces: [testWorkspace({ keys })] }))).to.equal(undefined);
        expect(checkCatalog(testCatalog({ routes: [testRoute({ unusedService: "model" })] }))).to.equal(undefined);
    });

    const invalid: [string, ReturnType<typeof testCatalog>][] = [
        ["an unknown service", testCatalog({ routes: [testRoute({ targets: [{ service: "x", weight: 1 }] })] })],
        [
            "weights that add up to 0",
            testCatalog({ routes: [testRoute({ targets: [{ service: "app", weight: 0 }] })] }),
        ],
        [
            "weights whose sum is not finite, of which only the last service would get requests",
            testCatalog({
                routes: [testRoute({ targets: ["app", "model"].map(service => ({ service, weight: 1e308 })) })],
            }),
        ],
        ["no target", testCatalog({ routes: [testRoute({ targets: [] })] })],
        ["a timeout of 0", testCatalog({ routes: [testRoute({ timeoutMs: 0 })] })],
        ["two routes with the same host and prefix", testCatalog({ routes: [testRoute(), testRoute({ name: "s" })] })],
        ["an unknown service beside the targets", testCatalog({ routes: [testRoute({ unusedService: "x" })] })],
        ["two workspaces of one name with one key", testCatalog({ workspaces: [testWorkspace(), testWorkspace()] })],
        ["two workspaces with one key", testCatalog({ workspaces: [testWorkspace(), testWorkspace({ name: "v" })] })],
    ];
    for (const [fault, catalog] of invalid) {
        it(`refuses ${fault}`, () => {
            expect(checkCatalog(catalog)).to.be.a("string");
        });
    }
});

describe("WorkspaceKeys", () => {
    it("finds the workspace of a key, and none for an unknown or missing key", () => {
        const keys = new WorkspaceKeys(testCatalog());
        expect(keys.find("key-1")?.name).to.equal("w");
        expect(keys.find("key-2")).to.equal(undefined);
        expect(keys.find(undefined)).to.equal(undefined);
    });
});
