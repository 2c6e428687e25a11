import { expect } from "chai";
import { cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { check } from "../src/commands/check.ts";
import { exitCodes } from "../src/exit-codes.ts";
import { OperatorClient, readQuestionnaire } from "../src/operator-client.ts";
import { formatTable, Output } from "../src/output.ts";

class CapturedOutput extends Output {
    value: unknown;
    lines: readonly string[] = [];

    constructor() {
        super(false);
    }

    override result(value: unknown, lines: readonly string[]): void {
        this.value = value;
        this.lines = lines;
    }
}

describe("check", () => {
    let folder: string;

    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "lentilramp-check-"));
        cpSync("deployments/fjordlys", folder, { recursive: true });
    });

    afterEach(() => rmSync(folder, { recursive: true }));

    function edit(file: string, change: (text: string) => string): void {
        writeFileSync(join(folder, file), change(readFileSync(join(folder, file), "utf8")));
    }

    it("accepts both deployments as they are", () => {
        const output = new CapturedOutput();
        expect(check(["deployments/fjordlys", "deployments/kokosinjac"], output)).to.equal(exitCodes.ok);
        expect(output.lines).to.have.length(20);
    });

    // Guards against a corrupt or contradictory document that is found only when a process starts.
    it("names file, path, found value and the nearest key, and ends with the code for documents", () => {
        edit("settings/entry-1.json", text => text.replace('"failureDomain"', '"failureDomian"'));
        edit("settings/control-1.json", text => text.slice(0, 40));
        edit("questionnaire.json", text => text.replace('"automaticRetries": false', '"automaticRetries": true'));
        const output = new CapturedOutput();
        expect(check([folder], output)).to.equal(exitCodes.invalidDocument);
        const text = output.lines.join("\n");
        expect(text).to.contain('did you mean "failureDomain"?');
        expect(text).to.match(/control-1\.json[^]*is not valid JSON: .* line \d+ column \d+/);
        expect(text).to.contain("cannot be retried automatically");
    });
});

describe("OperatorClient", () => {
    it("refuses an address without a port and a missing source of addresses as wrong usage", () => {
        expect(() => OperatorClient.open({ control: "127.0.0.1" })).to.throw("is not HOST:PORT").with.property(
            "exitCode",
            exitCodes.usage,
        );
        expect(() => OperatorClient.open({})).to.throw("give --deployment").with.property("exitCode", exitCodes.usage);
    });

    it("refuses an unreadable questionnaire as an invalid document", () => {
        expect(() => readQuestionnaire("absent.json")).to.throw("absent.json: cannot be read").with.property(
            "exitCode",
            exitCodes.invalidDocument,
        );
    });
});

describe("formatTable", () => {
    it("aligns columns by their longest cell", () => {
        expect(formatTable([["a", "b"], ["long", "c"]])).to.deep.equal(["a     b", "long  c"]);
    });
});
