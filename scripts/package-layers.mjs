/** Packages of decision logic, which import only the runtime package. */
const decisionPackages = [
    "routing",
    "limits",
    "retries",
    "claims",
    "streams",
    "membership",
    "placement",
    "configuration",
];

/** Folders of the packages that are not under `packages/`, by package name. */
export const packageFolders = { platform: "platform", "platform-bench": "platform/bench" };

/**
 * The packages that each package may import, by package name.
 * ESLint enforces this table for `src/`; tests may import any package.
 */
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
    entry: ["runtime", "settings", "protocol", ...decisionPackages],
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
        ...decisionPackages,
    ],
    "stand-ins": ["runtime"],
    "model-check": ["runtime", "agreement", ...decisionPackages],
    bench: [
        "runtime",
        "agreement",
        "journal",
        "protocol",
        "entry",
        "stand-ins",
        "dispatch",
        "platform-bench",
        ...decisionPackages,
    ],
    "platform-bench": [],
    demo: ["runtime", "protocol", "questionnaire", "configuration", "stand-ins"],
};
