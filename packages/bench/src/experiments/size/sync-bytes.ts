import { EndpointPace } from "@lentilramp/dispatch";
import type { SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import { RoomLedger, type RoomReport } from "@lentilramp/room";
import { SeededRandom } from "@lentilramp/runtime";
import { FleetCoordinator } from "@lentilramp/steward";
import { atMost, Experiment, type ExperimentResult, type SeriesPoint } from "../../experiment.ts";
import { LeaderFleet } from "./leader-fleet.ts";

const ingressCounts = [100, 400, 1_600];
const endpointsPerIngress = 4.625;
const bytesPerSecond = 3_000;
const ranks = 3;
/** Sync intervals until the answer that is measured; a level begins after the second one. */
const playedIntervals = 5;

interface Variant {
    name: string;
    services: number;
    workspaces: number;
    perSecond: number;
}

const variants: readonly Variant[] = [
    { name: "2 services, 30 workspaces", services: 2, workspaces: 30, perSecond: 30 },
    { name: "2 services, 1,000 workspaces", services: 2, workspaces: 1_000, perSecond: 30 },
    { name: "32 services, 1,000 workspaces", services: 32, workspaces: 1_000, perSecond: 30 },
    { name: "32 services, 1,000 workspaces, 500 requests/s", services: 32, workspaces: 1_000, perSecond: 500 },
];

/** Returns the bytes that a field adds to a message; 0 for one that is absent. */
export function fieldBytes(name: string, value: unknown): number {
    return value === undefined ? 0 : Buffer.byteLength(`"${name}":${JSON.stringify(value)},`);
}

/** Returns the field `room` of a sync of one ingress that has served requests since its last sync. */
function reportRoom({ services, workspaces, perSecond }: Variant, intervalMs: number, seed: number): RoomReport {
    const random = new SeededRandom(seed);
    const ledger = new RoomLedger(0, () => true);
    for (let i = 0; i < perSecond * intervalMs / 1_000; i++) {
        const owner = {
            service: `service-${random.nextInt(services)}`,
            rank: random.nextInt(ranks),
            // Few workspaces send most of the requests.
            workspace: `workspace-${Math.floor(workspaces * random.next() ** 2)}`,
        };
        const slotMs = 100 + random.nextInt(2_000);
        ledger.recordArrival(owner, { slotMs, promptTokens: random.nextInt(6_000) });
        ledger.recordServed(owner, slotMs, slotMs);
    }
    return ledger.takeReport(intervalMs);
}

/** Returns the field `paces` of a sync of one ingress; answers vary by a long tail. */
function reportPaces(fleet: LeaderFleet, { perSecond }: Variant, seed: number): SyncRequest["paces"] {
    const random = new SeededRandom(seed);
    const pace = new EndpointPace(fleet.clock);
    for (let i = 0; i < perSecond * fleet.intervalMs / 1_000; i++) {
        const id = fleet.endpoints[random.nextInt(fleet.endpoints.length)]?.id ?? "";
        pace.recordReport(id, 100);
        pace.observe(id, 100 * (0.5 - 0.5 * Math.log(1 - random.next())), 100);
    }
    return Object.fromEntries(pace.takeReports());
}

function measure(variant: Variant, ingresses: number, seed: number): SeriesPoint {
    const endpoints = Math.round(ingresses * endpointsPerIngress);
    const fleet = new LeaderFleet({ ingresses, endpoints, rows: 32, pressure: 1.5, seed });
    const coordinator = new FleetCoordinator(fleet.clock, 5_000);
    coordinator.updateEndpointList(fleet.endpoints, fleet.clock.now(), 1);
    let answer: Partial<SyncAnswer> = {};
    for (let i = 0; i < ingresses * playedIntervals; i++) {
        answer = coordinator.sync(fleet.nextSync());
    }
    const room = fieldBytes("room", reportRoom(variant, fleet.intervalMs, seed));
    const paces = fieldBytes("paces", reportPaces(fleet, variant, seed));
    const levels = fieldBytes("room", answer.room);
    const factors = fieldBytes("paces", answer.paces);
    return {
        variant: variant.name,
        setting: { ingresses, perSecond: variant.perSecond, intervalMs: fleet.intervalMs },
        figures: {
            reportRoomBytes: room,
            reportPacesBytes: paces,
            answerRoomBytes: levels,
            answerPacesBytes: factors,
            reportBytesPerSecond: (room + paces) * 1_000 / fleet.intervalMs,
            answerBytesPerSecond: (levels + factors) * 1_000 / fleet.intervalMs,
        },
    };
}

/** Bytes that admission and estimates add to the syncs of one ingress, by the size of the fleet. */
export class SyncBytesExperiment extends Experiment {
    override readonly name = "sync-bytes";
    override readonly description = "bytes of admission levels and estimates in the syncs of one ingress";
    override readonly reproducible = true;

    override run(seed: number): Promise<ExperimentResult> {
        const points = variants.flatMap(variant => ingressCounts.map(ingresses => measure(variant, ingresses, seed)));
        const largest = (variant: string): number =>
            Math.max(
                ...points.filter(point => point.setting.ingresses === 1_600 && point.variant === variant)
                    .map(({ figures }) => (figures.reportBytesPerSecond ?? 0) + (figures.answerBytesPerSecond ?? 0)),
            );
        return Promise.resolve({
            experiment: this.name,
            seed,
            settings: { ranks, endpointsPerIngress },
            points,
            // The target size has about 30 requests a second at each node.
            targets: variants.filter(({ perSecond }) => perSecond === 30).map(({ name }) =>
                atMost(`both ways at 1,600 ingresses, ${name}`, bytesPerSecond, largest(name), "B/s")
            ),
        });
    }
}
