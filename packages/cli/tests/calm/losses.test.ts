import { expect } from "chai";
import { AnswerReader } from "./answer-reader.ts";
import { bodyOf, kept } from "./calm-endpoint.ts";
import type { Arrival } from "./calm-endpoint.ts";
import { brokenRule, type CalmCall, describeLoss, type Excuse, lossesOf, type PlannedWork } from "./losses.ts";

describe("judge of lost requests", () => {
    const call: CalmCall = {
        id: "r1",
        kind: "unsafe",
        sentAt: 10_000,
        endedAt: 11_000,
        ingress: 0,
        status: undefined,
        seal: undefined,
        body: "",
        complete: false,
        habit: "plain",
        path: "/unsafe-0/r1/bytes.length.9",
        workspace: "w",
        key: "key-w",
        sentBody: "",
        wholeAnswer: "",
        route: "unsafe-0",
        connection: "c1",
        earlier: 1,
        idleMs: 40,
        wholeAt: 10_001,
        received: 0,
        ending: "closed",
        budgetMs: 6_000,
        limits: { least: 5_000, most: 5_000 },
    };
    const arrival: Arrival = {
        at: 10_020,
        id: "r1",
        endpoint: "e1",
        pauses: ["before-head"],
        outcome: "left",
        endedAt: 11_000,
    };
    const stop: PlannedWork = { kind: "stop", ingress: 0, from: 9_900, what: "stop" };
    const reload: PlannedWork = { kind: "reload", ingress: 0, from: 10_500, what: "reload" };
    const change: PlannedWork = { kind: "change", ingress: undefined, from: 9_000, confirmedAt: 9_100, what: "v2" };
    const copies = (one: CalmCall, count: number): CalmCall[] =>
        Array.from({ length: count }, (...[, i]) => ({ ...one, id: `r${i + 1}` }));
    const arrivalsOf = (calls: CalmCall[]): Arrival[] => calls.map(({ id }) => ({ ...arrival, id }));
    const excuse = (seen: Partial<CalmCall>, arrivals: Arrival[], works: PlannedWork[]): Excuse | undefined => {
        const [loss] = lossesOf([{ ...call, ...seen }], arrivals, works);
        expect(loss).to.not.equal(undefined);
        return loss?.excuse;
    };

    it("takes no answered request for lost, whatever its status", () => {
        expect(lossesOf([{ ...call, ending: "answered", status: 503 }], [arrival], [stop])).to.deep.equal([]);
    });

    it("reports each request without a complete answer, with its connection, endpoints and planned work", () => {
        const [loss] = lossesOf([call], [arrival], [reload, { ...reload, ingress: 1 }]);
        expect(loss?.excuse).to.equal(undefined);
        expect(describeLoss(loss!)).to.contain("lost: unsafe r1").and.contain("connection=c1 earlier=1 idleMs=40")
            .and.contain("e1[20..1000 left before-head]").and.contain("near=reload[500]");
    });

    it("counts a request on a kept connection at any time, from the fourth on", () => {
        const rule = (calls: CalmCall[]): string =>
            brokenRule(lossesOf(calls, arrivalsOf(calls), []), calls, []).join();
        expect(rule(copies(call, 3))).to.equal("");
        expect(rule(copies(call, 4))).to.contain("from kept connections that were closed without an answer: 4");
        expect(rule(copies({ ...call, earlier: 0 }, 4))).to.equal("");
        expect(rule(copies({ ...call, status: 200, received: 90 }, 4))).to.equal("");
        expect(rule(copies({ ...call, ending: "left" }, 4))).to.equal("");
    });

    it("counts no request that reached only endpoints which did not run it as passed on", () => {
        const calls = copies({ ...call, endedAt: 10_100 }, 4);
        const full = arrivalsOf(calls).map((one): Arrival => ({ ...one, outcome: "full" }));
        expect(brokenRule(lossesOf(calls, full, []), calls, [])).to.deep.equal([]);
    });

    it("counts one request around a stop until 1 s after the grace time", () => {
        const rule = (seen: CalmCall, work: PlannedWork): string =>
            brokenRule(lossesOf([seen], [arrival], [work]), [seen], [work]).join();
        expect(rule(call, stop)).to.contain("lost around a planned stop: 1");
        expect(rule({ ...call, status: 200, received: 300 }, stop)).to.contain("stop: 1");
        expect(rule(call, { ...stop, from: 1_999 })).to.equal("");
        expect(rule(call, { ...stop, from: 2_000 })).to.contain("stop: 1");
        expect(rule(call, { ...stop, ingress: 1 })).to.equal("");
    });

    it("counts a request around SIGHUP if it was sent up to 2 s after it and cut after it", () => {
        const rule = (from: number): string =>
            brokenRule(lossesOf([call], [arrival], [{ ...reload, from }]), [call], [{ ...reload, from }]).join();
        expect(rule(8_000)).to.contain("lost around a planned reload: 1");
        expect(rule(7_999)).to.equal("");
        expect(rule(11_001)).to.equal("");
    });

    it("counts requests beside a change where they are cut more often than at other times", () => {
        const cut = copies(call, 2);
        const whole = copies({ ...call, ending: "answered", status: 200 }, 20).map(one => ({
            ...one,
            id: `w${one.id}`,
        }));
        const elsewhere = copies({ ...call, sentAt: 90_000, wholeAt: 90_001, endedAt: 91_000 }, 9)
            .map(one => ({ ...one, id: `x${one.id}` }));
        const rule = (calls: CalmCall[], works: PlannedWork[]): string =>
            brokenRule(lossesOf(calls, arrivalsOf(calls), works), calls, works).join();
        expect(rule([...cut, ...whole], [change])).to.contain("cut beside changes at ingress 0: 2 of 22");
        expect(rule([...cut, ...whole, ...elsewhere], [change])).to.not.contain("cut beside changes");
        expect(rule(cut.map(one => ({ ...one, endedAt: 13_600 })), [{ ...change, confirmedAt: undefined }])).to.not
            .contain("cut beside changes");
        expect(rule([...cut, ...whole], [{ ...change, confirmedAt: 7_999 }])).to.not.contain("cut beside changes");
    });

    it("counts a request that was not passed on later than the slack after its last byte", () => {
        const rule = (seen: CalmCall): string => brokenRule(lossesOf([seen], [], [stop]), [seen], [stop]).join();
        expect(rule({ ...call, endedAt: 10_202 })).to.contain("stop: 1");
        expect(rule({ ...call, endedAt: 10_201 })).to.equal("");
    });

    it("excuses the time budget and the route's limit, and tells apart a limit that a change moved", () => {
        expect(excuse({ endedAt: 16_000 }, [arrival], [stop])).to.equal("time budget");
        expect(excuse({ ending: "left" }, [arrival], [stop])).to.equal("time budget");
        expect(excuse({ endedAt: 15_000 }, [arrival], [stop])).to.equal("route timeout");
        expect(excuse({ endedAt: 15_000, limits: { least: 5_000, most: 9_000 } }, [arrival], [change])).to.equal(
            "route timeout by one of the versions",
        );
        expect(excuse({ endedAt: 14_900 }, [arrival], [stop])).to.equal(undefined);
    });

    it("excuses the last sixth of the grace time for requests that were sent within 3 s of SIGTERM only", () => {
        const limits = { least: 30_000, most: 30_000 };
        const late = { endedAt: 17_800, budgetMs: 30_000, limits };
        const working = { ...arrival, endedAt: 17_800 };
        expect(excuse(late, [working], [stop])).to.equal("end of the grace time");
        expect(excuse(late, [{ ...working, endedAt: 16_000 }], [stop])).to.equal(undefined);
        expect(excuse(late, [working], [{ ...stop, from: 6_999 }])).to.not.equal("end of the grace time");
    });

    it("excuses a request that crosses the close, but not on a connection that had no reason to be closed", () => {
        expect(excuse({ endedAt: 10_150 }, [], [])).to.equal("crossed the close");
        expect(excuse({ endedAt: 10_150 }, [arrival], [])).to.equal(undefined);
        expect(excuse({ endedAt: 10_150, earlier: 0 }, [], [])).to.equal(undefined);
        expect(excuse({ endedAt: 10_150, habit: "half-close" }, [], [])).to.equal(undefined);
        expect(excuse({ endedAt: 10_150, earlier: 0 }, [], [stop])).to.equal("crossed the close");
        expect(excuse({ wholeAt: undefined }, [], [stop])).to.equal("request not whole");
        expect(excuse({ wholeAt: undefined }, [arrival], [stop])).to.equal(undefined);
    });

    it("reads answers of all framings byte by byte, and takes none for whole that is not", () => {
        const read = (text: string): AnswerReader => {
            const reader = new AnswerReader();
            [...text].forEach(byte => reader.take(Buffer.from(byte, "latin1")));
            return reader;
        };
        const head = "HTTP/1.1 200 OK\r\n";
        const whole = [
            `${head}Content-Length: 3\r\n\r\nabc`,
            `${head}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n`,
            `HTTP/1.1 100 Continue\r\n\r\n${head}Content-Length: 3\r\n\r\nabc`,
        ];
        for (const text of whole) {
            expect(read(text)).to.include({ status: 200, complete: true, body: "abc" });
            const cut = read(text.slice(0, -1));
            cut.end();
            expect(cut.complete).to.equal(false);
        }
        const open = read(`${head}\r\nabc`);
        expect(open.complete).to.equal(false);
        open.end();
        expect(open).to.include({ complete: true, body: "abc" });
        expect(read(`${whole[0]}HTTP`).rest.toString()).to.equal("HTTP");
        expect(() => read("no answer\r\n\r\n")).to.throw("no answer");
    });

    it("keeps long texts as hashes that differ when the texts do", () => {
        const text = bodyOf("r1", 5_000);
        expect(kept(text)).to.equal(kept(bodyOf("r1", 5_000)));
        expect(kept(text)).to.not.equal(kept(`${text.slice(0, -1)}x`));
        expect(kept(text)).to.have.length.below(100);
    });
});
