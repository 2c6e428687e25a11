import { MembershipSimulation, type NetworkOptions } from "./membership-network.ts";

export interface MembershipFigures extends Record<string, number> {
    bytesPerSecond: number;
    detectionMaxMs: number;
    falseDeaths: number;
}

/** Phases of a run, in ms: start, usual operation, single crashes, and the loss of a whole failure domain. */
const usualFrom = 10_000;
const crashesFrom = 100_000;
const domainLossAt = 160_000;
const endAt = 220_000;
const failureDomains = 21;
/** Restarts and failures of an ordinary day at 1,600 nodes. */
const eventsPerDay = 1_520;
const downMs = 5_000;

/** Instants at which a stopped process was declared dead by the first and by the last of the others. */
interface Detection {
    stoppedAt: number;
    first: number;
    last: number;
    observers: Set<number>;
}

/** Runs one group; loss acts on all datagrams during the whole run. */
export function runMembership(settings: NetworkOptions): MembershipFigures {
    const network = new MembershipSimulation(settings);
    const { events, random } = network;
    const { nodes } = settings;
    const detections = new Map<number, Detection>();
    const falseDeaths = new Set<string>();
    const falseSuspicions = new Set<string>();
    network.onChange = (observer, member, status) => {
        const detection = detections.get(member);
        if (status === "dead" && detection !== undefined) {
            detection.first = Math.min(detection.first, events.now);
            detection.last = events.now;
            detection.observers.add(observer);
        }
        // News about an earlier life of a restarted process is late, not false.
        if (network.isRunning(member, network.incarnationSeenBy(observer, member))) {
            // Observers that learn of the same suspicion count once within its longest duration.
            const episode = `${member}/${Math.floor(events.now / 20_000)}`;
            if (status === "dead") {
                falseDeaths.add(episode);
            }
            else if (status === "suspect") {
                falseSuspicions.add(episode);
            }
        }
    };
    const stop = (index: number) => {
        detections.set(index, { stoppedAt: events.now, first: Infinity, last: -Infinity, observers: new Set() });
        network.stop(index);
    };
    const restartOne = () => {
        const index = random.nextInt(nodes);
        network.stop(index);
        events.after(downMs, () => network.restart(index));
        scheduleRestart();
    };
    const scheduleRestart = () => {
        const at = events.now - Math.log(1 - random.next()) * 86_400_000 / (eventsPerDay * nodes / 1_600);
        if (at < crashesFrom - downMs) {
            events.at(at, restartOne);
        }
    };
    events.at(usualFrom, () => network.takeBytes());
    events.at(usualFrom, scheduleRestart);
    const usual = { bytes: 0 };
    events.at(crashesFrom, () => usual.bytes = network.takeBytes());
    const crashed = random.sample([...Array(nodes).keys()], Math.min(8, Math.floor(nodes / 8)));
    crashed.forEach((index, i) => events.at(crashesFrom + 3_000 * i, () => stop(index)));
    const single: Detection[] = [];
    let peakBytes = 0;
    events.at(domainLossAt, () => {
        single.push(...detections.values());
        detections.clear();
        const domain = [...Array(nodes).keys()].filter(index => index % failureDomains === 0);
        domain.filter(index => network.processes[index]?.running === true).forEach(stop);
        network.takeBytes();
    });
    for (let second = 1; domainLossAt + second * 1_000 < endAt; second++) {
        events.at(domainLossAt + second * 1_000, () => {
            peakBytes = Math.max(peakBytes, network.takeBytes() / network.running().length);
        });
    }
    events.runUntil(endAt);
    const summary = (list: Detection[]) => {
        const others = network.running().map(({ index }) => index);
        const complete = list.filter(({ observers }) => others.every(index => observers.has(index))).length;
        const last = list.map(({ last: at, stoppedAt }) => at - stoppedAt);
        const first = list.map(({ first: at, stoppedAt }) => at - stoppedAt);
        const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
        return {
            meanFirst: mean(first),
            meanLast: mean(last),
            max: complete === list.length ? Math.max(...last) : Number.POSITIVE_INFINITY,
        };
    };
    const crashes = summary(single);
    const lost = summary([...detections.values()]);
    const nodeHours = nodes * endAt / 3_600_000;
    return {
        bytesPerSecond: usual.bytes / nodes / ((crashesFrom - usualFrom) / 1_000),
        detectionFirstMeanMs: crashes.meanFirst,
        detectionAllMeanMs: crashes.meanLast,
        detectionMaxMs: crashes.max,
        domainLossDetectionMaxMs: lost.max,
        domainLossPeakBytesPerSecond: peakBytes,
        falseDeaths: falseDeaths.size,
        falseDeathsPerNodeHour: falseDeaths.size / nodeHours,
        falseSuspicionsPerNodeHour: falseSuspicions.size / nodeHours,
        joined: network.running().filter(({ node }) => node.isJoined).length / network.running().length,
    };
}

/** Bytes per node and second of the baseline in which each node sends a heartbeat to each other node every second. */
export function heartbeatBytesPerSecond(nodes: number, heartbeatBytes: number): number {
    return 2 * (nodes - 1) * heartbeatBytes;
}
