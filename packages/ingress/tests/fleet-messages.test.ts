import { syncAnswerSchema, syncRequestSchema } from "@lentilramp/ingress";
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
        const unknown = { ...req, added: { by: "a later version" } };
        expect(syncRequestSchema.parse(unknown)).to.deep.equal(syncRequestSchema.parse(req));
    });
});
