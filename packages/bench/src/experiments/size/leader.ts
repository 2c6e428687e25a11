import { FleetCoordinator, FleetFactors, FleetRoom } from "@lentilramp/steward";
import { performance } from "node:perf_hooks";
import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../../experiment.ts";
import { LeaderFleet, type LeaderOptions } from "./leader-fleet.ts";

const ingressCounts = [100, 400, 1_600];
const endpointsPerIngress = 4.625;
const rowCounts = [16, 32];
/** Syncs that are played before those that are measured, at least an interval of each ingress, and these. */
const warmUpSyncs = 1_600;
const measuredSyncs = 3_200;
const controlPercent = 2;

/** One part of the leader's work for a sync. */
type Work = (fleet: LeaderFleet) => (req: ReturnType<LeaderFleet["nextSync"]>) => void;

const works: Readonly<Record<string, Work>> = {
    "admission": fleet => {
        const room = new FleetRoom(undefined);
        const live = new Set([...Array(fleet.options.ingresses).keys()].map(i => `ingress-${i}`));
        const slots = fleet.endpoints.length / 2 * 8;
        return req => {
            room.record(req);
            room.levels(fleet.clock.now(), () => ({
                live: () => live,
                intervalMs: fleet.intervalMs,
                capacityOf: () => ({ slots, slowdown: 1, tokensPerMs: undefined }),
            }));
        };
    },
    "estimates": fleet => {
        const paces = new FleetFactors();
        paces.retain(fleet.endpoints);
        return req => {
            paces.record(req.paces, fleet.clock.now());
            paces.current(fleet.clock.now());
        };
    },
    "syncs without both": fleet => coordinatorWork(fleet, false),
    "syncs": fleet => coordinatorWork(fleet, true),
};

function coordinatorWork(fleet: LeaderFleet, isWhole: boolean): (req: ReturnType<LeaderFleet["nextSync"]>) => void {
    const coordinator = new FleetCoordinator(fleet.clock, 5_000);
    coordinator.updateEndpointList(fleet.endpoints, fleet.clock.now(), 1);
    return req => {
        coordinator.sync(isWhole ? req : { ...req, room: undefined, paces: undefined, demand: {} });
    };
}

function measure(name: string, work: Work, options: LeaderOptions): SeriesPoint {
    const fleet = new LeaderFleet(options);
    const handle = work(fleet);
    let cpuUs = 0;
    let longestMs = 0;
    for (let i = 0; i < warmUpSyncs + measuredSyncs; i++) {
        const req = fleet.nextSync();
        const wallAt = performance.now();
        const startedAt = process.cpuUsage();
        handle(req);
        if (i >= warmUpSyncs) {
            const { user, system } = process.cpuUsage(startedAt);
            cpuUs += user + system;
            longestMs = Math.max(longestMs, performance.now() - wallAt);
        }
    }
    return {
        variant: name,
        setting: { ingresses: options.ingresses, endpoints: options.endpoints, rows: options.rows },
        figures: {
            cpuUsPerSync: cpuUs / measuredSyncs,
            percentOfCore: cpuUs / measuredSyncs / fleet.syncGapMs / 10,
            longestMs,
        },
    };
}

/** Processor time of the leader for admission and estimates, by the size of the fleet; parsing is not included. */
export class LeaderExperiment extends Experiment {
    override readonly name = "leader";
    override readonly description = "processor time of the leader for admission and estimates of up to 1,600 ingresses";
    override readonly reproducible = false;

    override run(seed: number): Promise<ExperimentResult> {
        const points = Object.entries(works).flatMap(([name, work]) =>
            ingressCounts.flatMap(ingresses =>
                rowCounts.map(rows =>
                    measure(name, work, {
                        ingresses,
                        endpoints: Math.round(ingresses * endpointsPerIngress),
                        rows,
                        pressure: 1.3,
                        seed,
                    })
                )
            )
        );
        const percentAt = (variant: string): number =>
            Math.max(
                ...points.filter(point => point.variant === variant && point.setting.ingresses === 1_600)
                    .map(({ figures }) => figures.percentOfCore ?? 0),
            );
        return Promise.resolve({
            experiment: this.name,
            seed,
            settings: { measuredSyncs, pressure: 1.3 },
            points,
            targets: [
                atMost(
                    "admission and estimates at 1,600 ingresses",
                    controlPercent,
                    percentAt("admission") + percentAt("estimates"),
                    "% of a core",
                ),
            ],
        });
    }
}
