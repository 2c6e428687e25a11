import { z } from "zod";

const port = z.int().min(0).max(65_535);

/** IP address and port of a process. */
export const addressSchema = z.strictObject({
    host: z.union([z.ipv4(), z.ipv6()]).describe("IP number"),
    port: port.describe("port; 0 lets the system choose one"),
});

const share = z.number().gt(0).max(1);

/** Bounds on what the clients of a process hold; docs/operations/untrusted-clients.md explains them. */
export const clientSettingsSchema = z.strictObject({
    memoryMb: z.number().positive().optional().describe("memory of the machine, in MB; no common bound when left out"),
    memoryShare: share.default(0.25).describe("share of the memory for what clients send and do not read"),
    descriptors: z.int().positive().optional().describe(
        "file descriptors of the process; no common bound of connections when left out",
    ),
    connectionShare: share.default(0.6).describe("share of the descriptors for connections of clients"),
    pipelinedRequests: z.int().min(9).default(32).describe("requests of one connection in hand at once"),
    unreadAnswerBytes: z.int().min(1_024).default(16_384).describe(
        "unread bytes of answers of one connection from which no further request of it is read",
    ),
    bodyBytesPerSecond: z.number().min(0).default(1_024).describe(
        "lowest rate of a body after the grace period, in bytes a second",
    ),
    bodyGraceMs: z.int().min(1_000).default(10_000).describe("grace period of a slow body, in milliseconds"),
    unreadAnswerMs: z.int().min(6_000).default(85_000).describe(
        "time without progress after which a connection with unread answers is closed, in milliseconds; a caller that reads"
            + " 5,000 bytes a second into a receive buffer of at most 6 MiB shows progress within 78,600",
    ),
});

const common = {
    name: z.string().min(1).describe("name of the process, unique in the deployment"),
    region: z.string().min(1).describe("region of the instance"),
    failureDomain: z.string().min(1).describe("failure domain of the instance"),
    listen: addressSchema.describe("address for callers, operators and other processes"),
    keyFile: z.string().min(1).describe("file that holds the key for calls by operators and processes"),
    statsd: addressSchema.optional().describe("StatsD server for metrics; none when left out"),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info").describe("least level of events written"),
    clients: clientSettingsSchema.prefault({}).describe("bounds on what clients hold"),
    drainMs: z.int().min(0).default(600_000).describe("longest time of a graceful shutdown, in milliseconds"),
};

const member = addressSchema.extend({
    name: z.string().min(1).describe("name of the control process"),
    failureDomain: z.string().min(1).describe("failure domain of the control process"),
});

export const entrySettingsSchema = z.strictObject({
    role: z.literal("entry"),
    ...common,
    control: z.array(member).min(1).describe("control processes of the region"),
    membership: z.boolean().default(true).describe("failure detection among entries, by UDP on the port of `listen`"),
    instanceListUrl: z.url().optional().describe("platform's list of live and leaving instances"),
    engineConcurrency: z.int().min(1).max(4_096).default(512).describe(
        "requests to engines admitted at the start; later the limit follows the time to the first token",
    ),
    bodyLimitBytes: z.int().min(1_024).default(1_048_576).describe("largest request body, in bytes"),
});

export const controlSettingsSchema = z.strictObject({
    role: z.literal("control"),
    ...common,
    members: z.array(member).min(1).max(5).describe("first voters of the control group, this process included"),
    dataFolder: z.string().min(1).describe("folder for the durable state; one process only"),
    cloudUrl: z.url().optional().describe("cloud API; no placement when left out"),
    weightStoreUrl: z.url().optional().describe("weight store"),
});

/** Settings of one process; its role selects the schema. */
export const processSettingsSchema = z.discriminatedUnion("role", [entrySettingsSchema, controlSettingsSchema]);

export type ProcessAddress = z.infer<typeof addressSchema>;
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
export type ProcessSettings = z.infer<typeof processSettingsSchema>;
