/**
 * The packages and, for each, the packages that it may import.
 * ESLint enforces this table for src/; tests may import any package.
 */
const decisions = ["routing", "limits", "retries", "claims", "streams", "membership", "placement", "configuration"];

/** Packages that are not under `packages/`, with their folders. */
export const packageFolders = { platform: "platform", "platform-bench": "platform/bench" };

export const packageLayers = {
    runtime: [],
    agreement: [],
    journal: [],
    configuration: ["runtime"],
    membership: ["runtime"],
    routing: ["runtime"],
    limits: ["runtime"],
    retries: ["runtime"],
    claims: ["runtime"],
    streams: ["runtime"],
    placement: ["runtime"],
    questionnaire: ["runtime", "configuration"],
    settings: ["runtime"],
    protocol: ["runtime"],
    entry: ["runtime", "settings", "protocol", ...decisions],
    control: ["runtime", "settings", "protocol", "agreement", "journal", "claims", "configuration", "placement"],
    catalog: ["runtime"],
    dispatch: ["runtime"],
    fleet: ["runtime", "catalog"],
    ingress: ["runtime", "protocol", "catalog", "dispatch", "fleet", "retries"],
    steward: ["runtime", "protocol", "agreement", "journal", "control", "catalog", "dispatch", "fleet", "ingress"],
    platform: ["runtime", "protocol", "catalog", "dispatch", "fleet", "ingress", "steward"],
    cli: [
        "runtime",
        "settings",
        "protocol",
        "questionnaire",
        "entry",
        "control",
        "journal",
        "catalog",
        "fleet",
        "ingress",
        "steward",
        "platform",
        ...decisions,
    ],
    "stand-ins": ["runtime"],
    "model-check": ["runtime", "agreement", ...decisions],
    bench: [
        "runtime",
        "agreement",
        "journal",
        "protocol",
        "entry",
        "stand-ins",
        "dispatch",
        "platform-bench",
        ...decisions,
    ],
    "platform-bench": [],
    demo: ["runtime", "protocol", "questionnaire", "configuration", "stand-ins"],
};
