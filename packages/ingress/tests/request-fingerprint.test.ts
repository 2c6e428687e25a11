import { isRequestKey } from "@lentilramp/fleet";
import { fingerprintRequest } from "@lentilramp/ingress";
import { expect } from "chai";

describe("fingerprintRequest", () => {
    const req = {
        workspace: "w",
        method: "POST",
        host: "a.example",
        target: "/v1/run?x=1",
        body: Buffer.from("body"),
    };

    // Guards against keys that two ingresses or two versions compute differently.
    it("is a short request key that depends on nothing but the request", () => {
        const key = fingerprintRequest(req);
        expect(key).to.equal("request:L4ikFaq4sO0wezC9h1RPwg");
        expect(isRequestKey(key)).to.equal(true);
        expect(fingerprintRequest({ ...req, host: "A.Example:8080" })).to.equal(key);
    });

    // Guards against the refusal of sound requests that resemble one that crashes endpoints.
    it("distinguishes requests that differ in one field, and fields that are joined differently", () => {
        const others = [
            { ...req, workspace: "v" },
            { ...req, workspace: "" },
            { ...req, method: "PUT" },
            { ...req, host: "b.example" },
            { ...req, target: "/v1/run?x=2" },
            { ...req, target: "/v1/run?x=1b", body: Buffer.from("ody") },
            { ...req, workspace: "wP", method: "OST" },
            { ...req, body: Buffer.from("body ") },
            { ...req, body: Buffer.alloc(0) },
        ];
        expect(new Set([req, ...others].map(fingerprintRequest)).size).to.equal(others.length + 1);
    });
});
