import { accountOptions, connectionLimit, defaultClientLimits } from "@lentilramp/protocol";
import { clientSettingsSchema } from "@lentilramp/settings";
import { expect } from "chai";
import { decodeSettings } from "../../../platform/src/settings-file.ts";

const settingsText = (lines: readonly string[]): string =>
    [
        "node_name=front",
        "zone=a",
        "region=r",
        "ip_address=127.0.0.1",
        "internal_port_range=7600,7615",
        ...lines,
    ].join("\n");

describe("settings of the bounds on clients", () => {
    // Guards against bounds of entries that differ from those of a fleet and from the documentation.
    it("have the defaults of the protocol package", () => {
        const { memoryBytes, descriptors, ...rest } = defaultClientLimits;
        expect(clientSettingsSchema.parse({})).to.deep.equal(rest);
        expect([memoryBytes, descriptors]).to.deep.equal([undefined, undefined]);
    });

    // Guards against a bound where the settings name no resources.
    it("bound nothing in common without the resources of the machine", () => {
        expect(accountOptions(defaultClientLimits).budgetBytes).to.equal(Infinity);
        expect(connectionLimit(defaultClientLimits)).to.equal(Infinity);
    });

    it("are read from the settings file of the platform", () => {
        const settings = decodeSettings(settingsText(["limits.memory_mb=210", "limits.file_descriptors=2212"]));
        expect(settings.unwrap()).to.include({ memoryBytes: 210_000_000, descriptors: 2_212 });
        expect(decodeSettings(settingsText([])).unwrap()).to.include({
            memoryBytes: undefined,
            descriptors: undefined,
        });
    });

    // Guards against bounds that a mistake in the settings sets to nothing.
    it("are refused with the name of the field if they are no positive numbers", () => {
        for (const line of ["limits.memory_mb=-1", "limits.memory_mb=much", "limits.file_descriptors=0.5"]) {
            expect(decodeSettings(settingsText([line])).unwrapErr()).to.include(line.slice(0, line.indexOf("=")));
        }
    });
});
