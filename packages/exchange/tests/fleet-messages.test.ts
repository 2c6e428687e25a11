import { syncAnswerSchema, syncRequestSchema } from "@lentilramp/exchange";
import { expect } from "chai";

const endpoint = {
    id: "i-1",
    service: "app",
    host: "10.0.0.1",
    port: 8_080,
    failureDomain: "a",
    slots: 4,
    ready: true,
    reclaimable: false,
};
const ingress = {
    name: "front-1",
    host: "10.0.0.2",
    port: 8_221,
    inner: { host: "10.0.0.2", port: 7_600 },
    region: "r",
    failureDomain: "a",
    accepting: true,
};

describe("Messages between an ingress and a steward", () => {
    // Guards against an ingress that takes nothing of an answer, and is out of contact, for one element of a list.
    it("leave out an endpoint of the list that cannot be used and take the others", () => {
        const odd = [-1, 0, 65_536, 99_999, 1e9].map(port => ({ ...endpoint, port }));
        const others = [{ ...endpoint, host: "" }, { ...endpoint, slots: 0 }, { id: "i-2" }, "x", 7, []];
        const list = { readNumber: 3, endpoints: [...odd, endpoint, ...others] };
        const answer = syncAnswerSchema.parse({ leading: true, stewards: [], members: 1, list });
        expect(answer.list?.endpoints).to.deep.equal([endpoint]);
    });

    // Guards against an ingress that opens no feed at all, because the connection to one peer cannot be opened.
    it("leave out an ingress of the roster to which no connection can be opened, and take the others", () => {
        const odd = [0, 99_999].map(port => ({ ...ingress, inner: { host: "10.0.0.3", port } }));
        const roster = { tag: 1, ingresses: [...odd, ingress, { ...ingress, port: -1 }] };
        const answer = syncAnswerSchema.parse({ leading: true, stewards: [], members: 1, roster });
        expect(answer.roster?.ingresses).to.deep.equal([ingress]);
        expect(syncRequestSchema.shape.ingress.safeParse(odd[1]).success).to.equal(false);
    });

    // Guards against a leader that counts usage windows without end at a time at which the next one has the same number.
    it("reject a time of day that no date can hold", () => {
        const { wallMs } = syncRequestSchema.shape;
        expect([-1, 8.64e15 + 2, 1e300, Infinity, NaN].filter(value => wallMs.safeParse(value).success)).to.deep.equal(
            [],
        );
        expect(wallMs.safeParse(1_733_375_000_000.25).success).to.equal(true);
    });

    // Guards against a process out of contact because of figures that are only hints.
    it("are read without paces that are malformed", () => {
        const { paces: reports } = syncRequestSchema.shape;
        expect(reports.parse({ e: [1.5, 3] })).to.deep.equal({ e: [1.5, 3] });
        for (const odd of [{ e: [-1, 3] }, { e: [1] }, { e: "x" }, { e: [Infinity, 1] }, 7]) {
            expect(reports.parse(odd)).to.equal(undefined);
            expect(syncAnswerSchema.shape.paces.parse(odd)).to.equal(undefined);
        }
    });

    // Guards against a process out of contact because of one malformed report or notice of a roll-out.
    it("are read without reports and notices of roll-outs that are malformed", () => {
        const { rolloutResults, rolloutRevision } = syncRequestSchema.shape;
        for (const odd of [7, "x", { s: 1 }, { s: { order: "x" } }, []]) {
            expect(rolloutResults.parse(odd)).to.equal(undefined);
            expect(syncAnswerSchema.shape.rollouts.parse(odd)).to.equal(undefined);
        }
        expect(rolloutRevision.parse("1")).to.equal(undefined);
    });

    // Guards against processes of two software versions that take nothing of each other's messages in a rolling upgrade.
    it("are read without what an earlier software version does not send", () => {
        const req = {
            ingress,
            lifetime: "l",
            wallMs: 1,
            elapsedMs: 1,
            catalogVersion: 1,
            listNumber: 1,
            load: {},
            followsOthers: true,
            suspects: [],
            rosterTag: 0,
            usage: {},
            demand: {},
        };
        expect(syncRequestSchema.parse(req)).to.deep.include({ origins: {}, singleVersionTag: 0 });
        expect(syncAnswerSchema.parse({ leading: true, stewards: [], members: 1 }).singleVersionTag).to.equal(
            undefined,
        );
        expect(syncRequestSchema.parse(req).paces).to.equal(undefined);
        const unknown = { ...req, added: { by: "a later version" } };
        expect(syncRequestSchema.parse(unknown)).to.deep.equal(syncRequestSchema.parse(req));
    });

    // Guards against an ingress that is out of contact because one field of its report, or of its answer, is wrong.
    it("are read without the work and the levels that cannot be read", () => {
        const req = {
            ingress,
            lifetime: "l",
            wallMs: 1,
            elapsedMs: 1,
            catalogVersion: 1,
            listNumber: 1,
            load: {},
            followsOthers: true,
            suspects: [],
            rosterTag: 0,
            usage: {},
            demand: {},
        };
        const answer = { leading: true, stewards: [], members: 1 };
        for (const room of [7, [], "x", { overMs: -1, services: {} }, { overMs: 1, services: [] }, { s: 1 }]) {
            expect(syncRequestSchema.parse({ ...req, room }).room, JSON.stringify(room)).to.equal(undefined);
        }
        for (const room of [7, "x", { s: 1 }, { s: { ranks: 1, workspaces: [], clearMs: 1 } }]) {
            expect(syncAnswerSchema.parse({ ...answer, room }).room, JSON.stringify(room)).to.equal(undefined);
        }
        const level = { ranks: [[1, 0.5], [1, 7], [-1, 0.5]], workspaces: [[1, "w", 0.25], [1, 2, 3]], clearMs: 90 };
        expect(syncAnswerSchema.parse({ ...answer, room: { s: level } }).room).to.deep.equal({
            s: { ranks: [[1, 0.5]], workspaces: [[1, "w", 0.25]], clearMs: 90 },
        });
    });
});
