import { agreementMessagesSchema, AgreementStorage } from "@lentilramp/control";
import { originAnswerSchema, type SyncAnswer, syncAnswerSchema, type SyncRequest } from "@lentilramp/exchange";
import { endpointSchema, ingressDescriptionSchema } from "@lentilramp/fleet";
import { exchangeLineSchema } from "@lentilramp/ingress";
import { DataFolder, NodeFileAccess } from "@lentilramp/journal";
import { ManualClock, MemoryEventLog } from "@lentilramp/runtime";
import {
    attachStewardMethods,
    decideFounding,
    promptPartsAnswerSchema,
    readAnswerSchema,
    releaseAnswerSchema,
    rosterAnswerSchema,
    stewardAddress,
    StewardState,
    submitAnswerSchema,
} from "@lentilramp/steward";
import { expect } from "chai";
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { z } from "zod";
import { unreadableParts } from "./readable-schemas.ts";
import {
    type JsonSchema,
    methodSchemas,
    type RecordedMessages,
    type RecordedSchemas,
    type RecordedState,
} from "./recorded.ts";

function readFixture<T>(name: string): T {
    return JSON.parse(readFileSync(join(import.meta.dirname, "generated", name), "utf8")) as T;
}

/** Fixtures of commit dfe9746, written by record.ts. */
const messages = readFixture<RecordedMessages>("messages.json");
const schemas = readFixture<RecordedSchemas>("schemas.json");
const stored = readFixture<RecordedState>("state.json");

const params = methodSchemas(attachStewardMethods);
const results: Record<string, z.ZodType> = {
    "fleet.sync": syncAnswerSchema,
    "fleet.origins": originAnswerSchema,
    "fleet.roster": rosterAnswerSchema,
    "catalog.submit": submitAnswerSchema,
    "catalog.read": readAnswerSchema,
    "prompt-parts.list": promptPartsAnswerSchema,
    "control.release-vote": releaseAnswerSchema,
};
const parts: Record<keyof RecordedSchemas["parts"], z.ZodType> = {
    feed: exchangeLineSchema,
    ingress: ingressDescriptionSchema,
    endpoint: endpointSchema,
};

function describeSchema(schema: z.ZodType): JsonSchema {
    return z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
}

/** Every schema of the previous release with that of this one. */
const pairs = ([["params", params], ["results", results], ["parts", parts]] as const).flatMap(([kind, present]) =>
    Object.entries<JsonSchema>(schemas[kind]).map(([name, previous]) => ({
        name: `${kind} ${name}`,
        previous,
        present: present[name as keyof typeof present] as z.ZodType | undefined,
    }))
);

/** A sync with all fields that the previous release does not know. */
const request: SyncRequest = {
    ingress: {
        name: "front-1",
        host: "10.0.0.2",
        port: 8_001,
        inner: { host: "10.0.0.2", port: 7_600 },
        region: "r",
        failureDomain: "a",
        accepting: true,
        capacity: 1.25,
        busy: true,
    },
    lifetime: "front-1/1",
    wallMs: 1_733_375_000_000,
    elapsedMs: 250,
    waitMs: 600,
    catalogVersion: 3,
    listNumber: 4,
    load: { "i-1": { running: 2, unreadTokens: 300 } },
    followsOthers: true,
    suspects: [],
    rosterTag: 7,
    usage: { "5": { w: 3 } },
    leaving: [],
    limits: {},
    permits: {},
    crashes: [],
    begunParts: {},
    refusedParts: [],
    blockedTag: 1,
    origins: {},
    singleVersionTag: 2,
    demand: { model: { unreadTokens: 300, promptTokens: 400, placeMs: 90 } },
    paces: { "i-1": [1.5, 3] },
    rolloutResults: {
        app: {
            orderedAt: 1_733_375_000_000,
            share: 0.25,
            closed: false,
            arrived: 40,
            exposed: 9,
            results: { v2: { safe: { failed: 1, times: { "12": 8 } } } },
        },
    },
    rolloutRevision: 2,
    room: { overMs: 250, services: { model: [[0, "w", 90, 300, 90, 100]] } },
};
const answer: SyncAnswer = {
    leading: true,
    stewards: [{ host: "10.0.0.1", port: 7_600 }],
    members: 3,
    paces: { "i-1": 1.5 },
    roster: { tag: 8, ingresses: [request.ingress] },
    rollouts: {
        revision: 3,
        partial: false,
        services: {
            app: {
                state: "running",
                target: "v2",
                orderedAt: 1_733_375_000_000,
                barred: [],
                share: 0.25,
                closed: false,
                ageMs: 10,
                validMs: 1_000,
            },
        },
    },
    room: { model: { ranks: [[0, 1], [5, 0.4]], workspaces: [[5, "w", 0.2]], clearMs: 300 } },
};

/** Returns whether a value is in `whole` wherever it is in `part`; `whole` may have more fields. */
function contains(whole: unknown, part: unknown): boolean {
    return part instanceof Object && whole instanceof Object
        ? Object.entries(part).every(([key, value]) => contains((whole as Record<string, unknown>)[key], value))
        : Object.is(whole, part);
}

describe("Messages and states of the previous release (dfe9746)", () => {
    // Guards against a process out of contact with all processes of the other release, because one field changed.
    for (const { name, previous, present } of pairs) {
        it(`${name}: either release reads what the other one sends`, () => {
            expect(present, "is not read any more").to.not.equal(undefined);
            const own = describeSchema(present ?? z.unknown());
            expect(unreadableParts(previous, own), "from the previous release").to.deep.equal([]);
            expect(unreadableParts(own, previous), "from this release").to.deep.equal([]);
        });
    }

    // Guards against fields that are read differently, or dropped, without an error.
    it("reads every recorded call, answer and line of a feed without loss", () => {
        const read = (schema: z.ZodType | undefined, values: readonly unknown[]): void => {
            for (const value of values) {
                const parsed = schema?.safeParse(value);
                expect(parsed?.error, JSON.stringify(value)).to.equal(undefined);
                expect(contains(parsed?.data, value), JSON.stringify(value)).to.equal(true);
            }
        };
        for (const [method, call] of Object.entries(messages.calls)) {
            expect(params, method).to.have.property(method);
            read(params[method], call.params);
            read(results[method] ?? z.unknown(), call.results);
        }
        read(exchangeLineSchema, messages.feed);
    });

    // Guards against fixtures that hold too little to find a fault.
    it("is recorded with the messages that matter", () => {
        const all = JSON.stringify(messages.calls["fleet.sync"]);
        for (const field of ["crashes", "permits", "origins", "blockedParts", "suspectedParts", "limits", "roster"]) {
            expect(all).to.match(new RegExp(`"${field}":[{[]+"`), field);
        }
        const steps = agreementMessagesSchema.array().parse(messages.calls["agreement.step"]?.params);
        const types = new Set(steps.flatMap(step => step.messages.map(({ type }) => type)));
        expect([...types].sort()).to.include.members(["append", "append-reply", "pre-vote", "pre-vote-reply", "vote"]);
    });

    // Guards against a required or renamed field in what this release adds.
    it("reads a sync of this release with all fields that are new, and loses nothing that it knows", () => {
        const previous = (schema: JsonSchema | undefined) => z.fromJSONSchema(schema ?? false);
        expect(syncAnswerSchema.parse(answer)).to.deep.equal(answer);
        expect(params["fleet.sync"]?.parse(request)).to.deep.equal(request);
        expect(previous(schemas.params["fleet.sync"]).safeParse(request).success).to.equal(true);
        expect(previous(schemas.results["fleet.sync"]).safeParse(answer).success).to.equal(true);
        expect(previous(schemas.parts.ingress).safeParse(request.ingress).success).to.equal(true);
        expect(previous(schemas.params["fleet.sync"]).safeParse({ ...request, usage: 1 }).success).to.equal(false);
    });

    // Guards against stewards of two releases that apply one log and have two states, and against a snapshot that one of
    // them cannot restore. Without roll-outs, the states have to be equal.
    it("has the state of this release after the same commands, and its snapshot is restored", () => {
        const unreadable: number[] = [];
        const create = () => new StewardState(() => undefined, () => undefined, index => unreadable.push(index));
        const state = create();
        stored.commands.forEach((command, i) => state.apply(command, i + 1));
        expect(unreadable).to.deep.equal([]);
        const snapshot: unknown = JSON.parse(stored.snapshot);
        expect(JSON.parse(state.snapshot())).to.deep.equal(snapshot);
        const restored = create();
        restored.restore(stored.snapshot);
        expect(JSON.parse(restored.snapshot())).to.deep.equal(snapshot);
        expect(restored.rollouts.services).to.deep.equal({});
    });

    // Guards against an upgraded steward that founds a second group, or forgets its vote or what it has confirmed.
    it("left a data folder that a steward of this release recovers", async () => {
        const folder = mkdtempSync(join(tmpdir(), "lentilramp-previous-"));
        try {
            for (const [path, content] of Object.entries(stored.folder)) {
                mkdirSync(dirname(join(folder, path)), { recursive: true });
                writeFileSync(join(folder, path), Buffer.from(content, "base64"));
            }
            const log = new MemoryEventLog();
            const opened = await DataFolder.open(new NodeFileAccess(), folder, "single-process");
            const decision = Buffer.from(stored.folder.founding ?? "", "base64").toString("latin1");
            const { id, state } = await decideFounding(
                {
                    selfAddress: stewardAddress("127.0.0.1", 7_600),
                    seedHosts: [],
                    firstStart: true,
                    folderIdentity: opened.identity,
                },
                await opened.openMetadata("founding"),
                log,
            );
            expect(id).to.equal(/"id":"([^"]+)"/.exec(decision)?.[1]);
            const storage = await AgreementStorage.open(opened, state, new ManualClock(1_000), log);
            const { stored: recovered } = storage;
            await storage.close();
            const steward = new StewardState(() => undefined, () => undefined, index => {
                throw new Error(`entry ${index} cannot be read`);
            });
            for (const { index, content } of recovered.entries.filter(entry => entry.index <= recovered.commitIndex)) {
                if (content.kind === "command") {
                    steward.apply(content.command, index);
                }
            }
            expect(recovered.term).to.be.above(1);
            expect(steward.catalog?.version).to.equal(4);
            expect(steward.blockedParts.map(({ part }) => part)).to.deep.equal(["deadf00d"]);
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });

    // Guards against a comparison that finds nothing.
    it("is compared field by field", () => {
        const object = (properties: Record<string, JsonSchema>, required: string[]): JsonSchema => ({
            type: "object",
            properties,
            required,
        });
        const number: JsonSchema = { type: "number" };
        const cases: [JsonSchema, JsonSchema, string | undefined][] = [
            [object({ a: number }, ["a"]), object({ a: number }, ["a"]), undefined],
            [object({ a: number, b: number }, ["a"]), object({ a: number }, ["a"]), undefined],
            [object({ a: { ...number, default: 1 } }, []), object({ a: number }, ["a"]), undefined],
            [object({ a: number }, []), object({ a: number }, ["a"]), "message.a: not always sent"],
            [object({ a: { type: "string" } }, []), object({ a: number }, []), "message.a: string instead of number"],
            [
                object({ a: number, b: number }, []),
                { ...object({ a: number }, []), additionalProperties: false },
                "not known",
            ],
            [{ type: "integer" }, number, undefined],
            [number, { type: "integer" }, "number instead of integer"],
            [{ enum: ["x", "y"] }, { enum: ["x"] }, `instead of ["x"]`],
            [{ anyOf: [number, { type: "string" }] }, number, "no alternative reads"],
            [number, { anyOf: [number, { type: "string" }] }, undefined],
            [number, { ...number, minimum: 0 }, "minimum undefined instead of 0"],
            [{ type: "array", items: number }, { type: "array", items: { type: "string" } }, "message[]: number"],
            [
                { type: "object", additionalProperties: number },
                { type: "object", additionalProperties: { type: "string" } },
                "message.*: number",
            ],
        ];
        for (const [sent, read, issue] of cases) {
            const found = unreadableParts(sent, read).join();
            expect(found).to[issue === undefined ? "equal" : "contain"](issue ?? "");
        }
    });
});
