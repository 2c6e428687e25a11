import { LimitRegister } from "@lentilramp/fleet";
import { expect } from "chai";

describe("LimitRegister", () => {
    const statement = (perSecond: number | undefined, at: number, startedAt = 1) => ({ perSecond, at, startedAt });

    // Guards against a late message that restores a limit which the endpoint has lifted or changed since.
    it("keeps the newest statement in whichever order statements arrive", () => {
        const register = new LimitRegister();
        expect(register.merge("e", statement(3, 20))).to.equal(true);
        expect(register.merge("e", statement(9, 10))).to.equal(false);
        expect(register.limitOf("e")).to.equal(3);
        expect(register.merge("e", statement(3, 30))).to.equal(false);
        expect(register.merge("e", statement(undefined, 40))).to.equal(true);
        expect(register.merge("e", statement(3, 35))).to.equal(false);
        expect(register.limitOf("e")).to.equal(undefined);
    });

    // Guards against a limit that outlives the lifetime of the endpoint that named it.
    it("drops the statements of endpoints that are gone or have restarted", () => {
        const register = new LimitRegister();
        register.merge("stays", statement(1, 1));
        register.merge("gone", statement(2, 1));
        register.merge("restarted", statement(3, 1));
        register.retain([{ id: "stays", startedAt: 1 }, { id: "restarted", startedAt: 2 }]);
        expect([...register.entries()].map(([id]) => id)).to.deep.equal(["stays"]);
    });
});
