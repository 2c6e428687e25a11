import {
    describeDifference,
    findContradictions,
    generateConfiguration,
    type Questionnaire,
    questionnaireSchema,
} from "@lentilramp/questionnaire";
import { expect } from "chai";
import { readFileSync } from "node:fs";

const deployments = ["fjordlys", "kokosinjac"];

function answersOf(deployment: string): Questionnaire {
    return questionnaireSchema.parse(JSON.parse(readFileSync(`deployments/${deployment}/questionnaire.json`, "utf8")));
}

function answersWith(change: (answers: Questionnaire) => void): Questionnaire {
    const answers = answersOf("fjordlys");
    change(answers);
    return answers;
}

describe("questionnaires of the deployments", () => {
    for (const deployment of deployments) {
        it(`${deployment} has no contradiction and generates the same configuration each time`, () => {
            const answers = answersOf(deployment);
            expect(findContradictions(answers)).to.deep.equal([]);
            const configuration = generateConfiguration(answers);
            expect(generateConfiguration(answersOf(deployment))).to.deep.equal(configuration);
            expect(configuration.failureDomains).to.have.length(3);
            expect(configuration.workspaces).to.have.length(5);
        });
    }

    it("generates the expected number of engine and service endpoints", () => {
        const count = (deployment: string, kind: string) =>
            generateConfiguration(answersOf(deployment)).endpoints.filter(endpoint => endpoint.kind === kind).length;
        expect([count("fjordlys", "engine"), count("fjordlys", "service")]).to.deep.equal([12, 3]);
        expect([count("kokosinjac", "engine"), count("kokosinjac", "service")]).to.deep.equal([6, 3]);
    });
});

describe("findContradictions", () => {
    const cases: [string, (answers: Questionnaire) => void, string, string][] = [
        [
            "two owners of one service",
            answers => {
                const [first, second] = answers.teams;
                first?.services.push(
                    structuredClone(second?.services[0] as NonNullable<typeof second>["services"][number]),
                );
            },
            "single-owner",
            "$.teams[1].services[0].name",
        ],
        [
            "automatic retries of a non-idempotent operation",
            answers => {
                const operation = answers.teams[1]?.services[0]?.operations[0];
                Object.assign(operation ?? {}, { automaticRetries: true });
            },
            "no-retry-of-non-idempotent",
            "$.teams[1].services[0].operations[0].automaticRetries",
        ],
        [
            "a promise below the delay of the links",
            answers => {
                Object.assign(answers.teams[1]?.services[0]?.operations[0] ?? {}, { promisedMs: 10 });
            },
            "reachable-latency",
            "$.teams[1].services[0].operations[0].promisedMs",
        ],
        [
            "an unknown failure domain",
            answers => {
                Object.assign(answers.entries[0] ?? {}, { failureDomain: "elsewhere" });
            },
            "known-failure-domains",
            "$.entries[0].failureDomain",
        ],
        [
            "a missing link",
            answers => {
                answers.links.pop();
            },
            "known-failure-domains",
            "$.links",
        ],
        [
            "an address that is used twice",
            answers => {
                Object.assign(answers.entries[1] ?? {}, { host: answers.entries[0]?.host });
            },
            "unique-names",
            "$.entries[1]",
        ],
        [
            "an even number of control processes",
            answers => {
                answers.control.pop();
            },
            "control-spread",
            "$.control",
        ],
        [
            "a failure domain with a majority of the control processes",
            answers => {
                answers.control.forEach(member => member.failureDomain = "no-west-a");
            },
            "control-spread",
            "$.control",
        ],
    ];
    for (const [name, change, rule, path] of cases) {
        // Guards against generating a configuration from contradictory answers.
        it(`names the answer at fault for ${name}`, () => {
            const found = findContradictions(answersWith(change));
            expect(found.map(contradiction => `${contradiction.rule} ${contradiction.path}`)).to.include(
                `${rule} ${path}`,
            );
        });
    }
});

describe("generateConfiguration", () => {
    // Guards against an operator's change that reverts a drain or drops claim generations and tombstones.
    it("keeps lifecycle, claim generations and tombstones of the configuration in force", () => {
        const current = generateConfiguration(answersOf("fjordlys"));
        current.version = 7;
        const drainingEndpoint = current.endpoints[0] as (typeof current.endpoints)[number];
        drainingEndpoint.lifecycle = "draining";
        current.claimGenerations = [{
            generation: 1,
            fromIssueTime: 0,
            replicas: [{ identity: "x", address: { host: "127.0.0.1", port: 1 }, failureDomain: "no-west-a" }],
        }];
        current.tombstones = [{ kind: "endpoint", id: "gone", version: 3 }];
        const next = generateConfiguration(answersOf("fjordlys"), current);
        expect(next.endpoints.find(endpoint => endpoint.id === drainingEndpoint.id)?.lifecycle).to.equal("draining");
        expect(next.claimGenerations).to.deep.equal(current.claimGenerations);
        expect(next.tombstones).to.deep.equal(current.tombstones);
        expect(describeDifference(current, next)).to.deep.equal([]);
    });

    it("neither retries nor hedges a non-idempotent operation", () => {
        const { routes } = generateConfiguration(answersOf("kokosinjac"));
        const route = routes.find(other => other.name === "service/rental-app/book-delivery");
        expect(route?.retry.maxAttempts).to.equal(1);
        expect(route?.hedge.enabled).to.equal(false);
    });
});

describe("describeDifference", () => {
    it("lists added, removed and changed items, one per line", () => {
        const before = generateConfiguration(answersOf("fjordlys"));
        const after = generateConfiguration(answersWith(answers => {
            answers.weighs = "cost";
            answers.workspaces.pop();
            Object.assign(answers.entries[0] ?? {}, { id: "entry-9" });
            Object.assign(answers.teams[1]?.services[0]?.operations[2] ?? {}, { promisedMs: 500 });
        }));
        const lines = describeDifference(before, after);
        expect(lines).to.include.members([
            "~ costWeight 0.2 -> 0.8",
            "- workspace tromso-linse",
            "+ entry entry-9",
            "- entry entry-1",
        ]);
        expect(lines.some(line => line.startsWith("~ route service/hire-app/availability: ") && line.includes("500")))
            .to.equal(true);
    });
});
