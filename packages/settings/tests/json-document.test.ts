import { checkDocument, processSettingsSchema, readDocument } from "@lentilramp/settings";
import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const entry = {
    role: "entry",
    name: "entry-1",
    region: "no-west",
    failureDomain: "no-west-a",
    listen: { host: "127.0.0.1", port: 0 },
    keyFile: "key",
    control: [{ name: "control-1", failureDomain: "no-west-a", host: "127.0.0.1", port: 7000 }],
};

function problemsOf(value: unknown): string {
    const result = checkDocument("settings.json", value, processSettingsSchema);
    return result.isErr() ? result.error.message : "";
}

describe("readDocument", () => {
    let folder: string;
    beforeEach(() => folder = mkdtempSync(join(tmpdir(), "settings-")));
    afterEach(() => rmSync(folder, { recursive: true }));

    // Guards against a corrupt file that ends in a stack trace without file and position.
    it("names the file, line and column of a syntax error", () => {
        const file = join(folder, "broken.json");
        writeFileSync(file, '{\n  "role": entry\n}');
        const result = readDocument(file, processSettingsSchema);
        expect(result.isErr() && result.error.message).to.match(/broken\.json: is not valid JSON: .*line 2/);
    });

    it("names a file that cannot be read", () => {
        const result = readDocument(join(folder, "absent.json"), processSettingsSchema);
        expect(result.isErr() && result.error.message).to.contain("absent.json: cannot be read");
    });
});

describe("checkDocument", () => {
    it("accepts valid settings and fills defaults", () => {
        const result = checkDocument("settings.json", entry, processSettingsSchema);
        expect(result.isOk() && result.value.logLevel).to.equal("info");
    });

    // Guards against a misspelt key that is silently ignored.
    it("refuses an unknown key and names the nearest known one", () => {
        expect(problemsOf({ ...entry, failurDomain: "x" })).to.contain(
            '$.failurDomain: unknown key "failurDomain"; did you mean "failureDomain"?',
        );
        expect(problemsOf({ ...entry, listen: { ...entry.listen, prot: 1 } })).to.contain('did you mean "port"?');
    });

    // Guards against an error that does not say what was found.
    it("names path, found value and expectation", () => {
        const problems = problemsOf({ ...entry, listen: { host: "localhost", port: 70_000 } });
        expect(problems).to.contain("settings.json: $.listen.port: found 70000, expected:");
        expect(problems).to.contain('$.listen.host: found "localhost"');
    });
});
