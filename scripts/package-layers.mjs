/**
 * The packages and, for each, the packages that it may import.
 * ESLint enforces this table for src/; tests may import any package.
 */
const decisions = ["routing", "limits", "retries", "claims", "streams", "membership", "placement", "configuration"];

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
    cli: ["runtime", "settings", "protocol", "questionnaire", "entry", "control", "journal", ...decisions],
    "stand-ins": ["runtime"],
    "model-check": ["runtime", "agreement", ...decisions],
    bench: ["runtime", "agreement", "journal", "protocol", "entry", "stand-ins", ...decisions],
    demo: ["runtime", "protocol", "questionnaire", "configuration", "stand-ins"],
};
