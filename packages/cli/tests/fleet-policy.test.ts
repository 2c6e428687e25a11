import { expect } from "chai";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fleetPolicyDefaults, readFleetPolicy } from "../src/fleet-policy.ts";

describe("readFleetPolicy", () => {
    const file = join(mkdtempSync(join(tmpdir(), "policy-")), "policy.json");
    const read = (document: unknown) => {
        writeFileSync(file, JSON.stringify(document));
        return readFleetPolicy(file);
    };

    it("leaves every mechanism on that the file does not name", () => {
        const policy = read({ policy: { ingress: { waiting: false } } }).unwrap();
        expect(policy).to.deep.equal({
            ...fleetPolicyDefaults,
            ingress: { ...fleetPolicyDefaults.ingress, waiting: false },
        });
        expect(Object.values({ ...fleetPolicyDefaults.ingress, ...fleetPolicyDefaults.planner })).to.not.include(false);
    });

    // A misspelt switch that is ignored would make an ablation measure nothing.
    it("refuses an unknown mechanism with the nearest name, and a value that is no switch", () => {
        const unknown = read({ policy: { ingress: { waitin: false } } });
        expect(unknown.isErr() && unknown.error.message).to.contain('did you mean "waiting"?');
        const wrong = read({ policy: { planner: { reserve: 2 } } });
        expect(wrong.isErr() && wrong.error.message).to.contain("$.policy.planner.reserve: found 2");
    });
});
