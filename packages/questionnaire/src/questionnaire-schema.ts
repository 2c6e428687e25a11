import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, "a name of lower-case letters, digits and hyphens");
const ip = z.union([z.ipv4(), z.ipv6()]);
const port = z.int().min(1).max(65_535);

const replicaSchema = z.strictObject({
    id: name.describe("name of the replica, unique in the deployment"),
    host: ip.describe("IP number"),
    port: port.describe("port"),
    failureDomain: name.describe("failure domain of its instance"),
    machineClass: z.string().min(1).describe("machine class of its instance"),
});

const modelSchema = z.strictObject({
    name: name.describe("name that callers put into `model`"),
    uses: z.array(z.string().min(1)).min(1).describe("what the model is used for"),
    version: z.string().min(1).describe("version that the replicas serve"),
    adapters: z.array(name).default([]).describe("adapters loaded on the replicas"),
    firstTokenMs: z.int().min(1).describe("promised time to the first token for 95 in 100, in milliseconds"),
    betweenTokensMs: z.int().min(1).describe("promised time between tokens for 95 in 100, in milliseconds"),
    enginesCheckFencing: z.boolean().describe("whether the engines refuse an order with an old fencing number"),
    replicas: z.array(replicaSchema).min(1).describe("engines that serve the model"),
});

const operationSchema = z.strictObject({
    name: name.describe("name of the operation"),
    idempotent: z.boolean().describe("whether executing it twice has the effect of executing it once"),
    promisedMs: z.int().min(1).describe("promised time to the whole answer for 95 in 100, in milliseconds"),
    automaticRetries: z.boolean().describe("whether the system may send it again by itself after a failure"),
});

const serviceSchema = z.strictObject({
    name: name.describe("name of the service"),
    operations: z.array(operationSchema).min(1).describe("what callers can ask of the service"),
    replicas: z.array(replicaSchema).min(1).describe("instances that serve it"),
});

const teamSchema = z.strictObject({
    name: name.describe("name of the team"),
    contact: z.string().min(1).describe("whom to call"),
    models: z.array(modelSchema).default([]).describe("models that the team owns"),
    services: z.array(serviceSchema).default([]).describe("plain services that the team owns"),
});

const entrySchema = z.strictObject({
    id: name.describe("name of the entry instance"),
    host: ip.describe("IP number"),
    port: port.describe("port for callers"),
    failureDomain: name.describe("failure domain of the instance"),
});

const controlSchema = entrySchema.describe("control process on an instance with a disk");

/** Answers of all teams of a deployment, from which the whole configuration is generated. */
export const questionnaireSchema = z.strictObject({
    company: z.string().min(1).describe("who runs the deployment"),
    region: name.describe("region of all instances"),
    failureDomains: z.array(name).min(1).describe("failure domains of the region"),
    links: z.array(z.strictObject({
        between: z.tuple([name, name]).describe("the two failure domains"),
        oneWayMs: z.number().min(0).describe("delay one way, in milliseconds"),
        relativeCost: z.number().min(0).default(1).describe("cost of traffic against traffic inside a failure domain"),
    })).describe("links between failure domains"),
    clientDelayMs: z.number().min(0).describe("delay one way between callers and entries, in milliseconds"),
    weighs: z.enum(["latency", "cost"]).describe("what matters more where both cannot be had"),
    workspaces: z.array(z.strictObject({
        id: name.describe("name of the workspace"),
        share: z.number().positive().default(1).describe("share of the capacity under overload, against the others"),
    })).min(1).describe("customers"),
    entries: z.array(entrySchema).min(1).describe("entry instances"),
    control: z.array(controlSchema).min(1).max(5).describe("control processes, one a failure domain"),
    teams: z.array(teamSchema).min(1).describe("teams and what they own"),
});

export type Questionnaire = z.infer<typeof questionnaireSchema>;
export type Team = Questionnaire["teams"][number];
export type Model = Team["models"][number];
export type Service = Team["services"][number];
export type Operation = Service["operations"][number];
export type Replica = Model["replicas"][number];
