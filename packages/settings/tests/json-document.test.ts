import { checkDocument, processSettingsSchema, readDocument } from "@lentilramp/settings";
import { expect } from "chai";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const entrySettings = {
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

    // Guards against a stack trace that names neither the file nor the position of a syntax error.
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
    it("accepts valid settings and fills in defaults", () => {
        const result = checkDocument("settings.json", entrySettings, processSettingsSchema);
        expect(result.isOk() && result.value.logLevel).to.equal("info");
    });

    // Guards against a misspelt key that is silently ignored.
    it("rejects an unknown key and suggests the closest known key", () => {
        expect(problemsOf({ ...entrySettings, failurDomain: "x" })).to.contain(
            '$.failurDomain: unknown key "failurDomain"; did you mean "failureDomain"?',
        );
        expect(problemsOf({ ...entrySettings, listen: { ...entrySettings.listen, prot: 1 } })).to.contain(
            'did you mean "port"?',
        );
    });

    // Guards against an error message without the value that was found.
    it("names the path, the value found and the value expected", () => {
        const problems = problemsOf({ ...entrySettings, listen: { host: "localhost", port: 70_000 } });
        expect(problems).to.contain("settings.json: $.listen.port: found 70000, expected:");
        expect(problems).to.contain('$.listen.host: found "localhost"');
    });
});
