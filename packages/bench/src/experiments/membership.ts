import { MembershipCodec } from "@lentilramp/membership";
import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../experiment.ts";
import { logSlope } from "./configuration/log-slope.ts";
import { udpHeaderBytes } from "./membership/membership-network.ts";
import { heartbeatBytesPerSecond, runMembership } from "./membership/run-membership.ts";

const nodeCounts = [8, 50, 200, 800, 1_600];
const candidate = "SWIM, 5% loss";
const variants = [
    { name: candidate, loss: 0.05, options: {} },
    { name: "SWIM, no loss", loss: 0, options: {} },
    { name: "SWIM without local health, 5% loss", loss: 0.05, options: { maxLocalHealth: 0 } },
];

/** Failure detection among entries: SWIM against heartbeats between all nodes. */
export class MembershipExperiment extends Experiment {
    readonly name = "membership";
    readonly description = "detection time, false positives under 5% loss, and bytes per node of membership";
    readonly reproducible = true;

    override async run(seed: number): Promise<ExperimentResult> {
        const points: SeriesPoint[] = variants.flatMap(({ name, loss, options }) =>
            nodeCounts.map(nodes => ({
                variant: name,
                setting: { nodes },
                figures: runMembership({ nodes, seed, loss, options }),
            }))
        );
        const heartbeat = new MembershipCodec(Buffer.alloc(32)).encode({
            kind: "ping",
            from: "region-1-entry-0001",
            incarnation: 1,
            seq: 1_000,
            updates: [],
        }).unwrap().byteLength + udpHeaderBytes;
        points.push(...nodeCounts.map(nodes => ({
            variant: "heartbeats between all nodes",
            setting: { nodes },
            figures: { bytesPerSecond: heartbeatBytesPerSecond(nodes, heartbeat) },
        })));
        const own = points.filter(point => point.variant === candidate);
        const bytes = own.map(({ setting, figures }) => ({
            nodes: Number(setting.nodes),
            value: figures.bytesPerSecond ?? 0,
        }));
        const falseDeaths = own.reduce((sum, { figures }) => sum + (figures.falseDeaths ?? 0), 0);
        return {
            experiment: this.name,
            seed,
            settings: { loss: 0.05, failureDomains: 21, eventsPerDayAt1600: 1_520 },
            points,
            targets: [
                atMost("bytes per node at 1,600 nodes", 3_000, bytes.at(-1)?.value ?? 0, "B/s"),
                atMost("growth of bytes per node (exponent of the number of nodes)", 0.99, logSlope(bytes), ""),
                atMost("live members declared dead under 5% loss", 0, falseDeaths, ""),
            ],
        };
    }
}
