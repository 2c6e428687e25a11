import { SeededRandom } from "@lentilramp/runtime";
import { EventQueue } from "./event-queue.ts";
import { linkDefaults } from "./link-model.ts";
import type { Simulation } from "./publisher-model.ts";
import { planChange } from "./region-configuration.ts";
import { RegionModel } from "./region-model.ts";
import type { AskMode } from "./subscriber-model.ts";
import { type HttpOverhead, MessageSizes } from "./wire-size.ts";

export interface DistributionVariant {
    name: string;
    relays: number;
    mode: AskMode;
    historyLimit: number;
}

export interface DistributionFigures extends Record<string, number> {
    inForceMaxMs: number;
    inForceP50Ms: number;
    nodeBytesPerSecond: number;
}

/** Duration of a run, in ms. */
export const runMs = 300_000;
const settleMs = 6_000;
const changesPerDay = 14_000;
const restartsPerDay = 1_400;
const dayMs = 86_400_000;
const nodesPerRegion = 200;
/** 21 failure domains in 8 regions. */
const domainsOfRegion = [3, 3, 3, 3, 3, 2, 2, 2];
/** Traffic is counted from this instant, after the full transfers of the start. */
const warmUpMs = 10_000;
/** In each region one relay stops for a time, the leader is replaced, and one relay is cut off from the leader. */
const relayStop = { at: 60_000, forMs: 60_000 };
const election = { at: 150_000, forMs: 1_000 };
const relayCut = { at: 200_000, forMs: 30_000 };

/** Runs one variant with `nodes` subscribers. Each change of the day is made in every region. */
export function runDistribution(
    variant: DistributionVariant,
    nodes: number,
    seed: number,
    http: HttpOverhead,
): DistributionFigures {
    const events = new EventQueue();
    // The changes and restarts have their own source, so that all variants get the same ones.
    const plans = new SeededRandom(seed);
    const random = new SeededRandom(seed + 1);
    const sizes = new MessageSizes(http);
    const simulation: Simulation = { events, random, links: linkDefaults, sizes, silence: 0.0001 };
    const regionCount = Math.ceil(nodes / nodesPerRegion);
    const perRegion = Math.ceil(nodes / regionCount);
    const regions = [...Array(regionCount).keys()].map(region =>
        new RegionModel(simulation, { ...variant, region, domains: domainsOfRegion[region] ?? 3, nodes: perRegion })
    );
    const changes: { at: number; versions: number[]; }[] = [];
    const nextAfter = (perDay: number) => -Math.log(1 - plans.next()) * dayMs / perDay;
    const change = () => {
        const plan = planChange(plans, perRegion);
        const operator = { region: plans.nextInt(regionCount), domain: 0 };
        const record = { at: events.now, versions: regions.map(() => 0) };
        changes.push(record);
        regions.forEach((region, i) =>
            region.propose(plan, changes.length, operator, version => record.versions[i] = version)
        );
        schedule(changesPerDay, change);
    };
    const restart = () => {
        regions[plans.nextInt(regionCount)]?.restartOne(plans.nextInt(perRegion));
        schedule(restartsPerDay * nodes / 1_600, restart);
    };
    const schedule = (perDay: number, run: () => void) => {
        const at = events.now + nextAfter(perDay);
        if (at < runMs - settleMs) {
            events.at(at, run);
        }
    };
    events.at(5_000, change);
    schedule(restartsPerDay * nodes / 1_600, restart);
    events.at(relayStop.at, () =>
        regions.forEach(({ relays: [first] }) => {
            if (first !== undefined) {
                first.downUntil = relayStop.at + relayStop.forMs;
            }
        }));
    events.at(election.at, () => regions.forEach(({ leader }) => leader.downUntil = election.at + election.forMs));
    events.at(relayCut.at, () => regions.forEach(region => region.relayCutUntil[1] = relayCut.at + relayCut.forMs));
    events.at(warmUpMs, () => regions.forEach(region => region.resetTraffic()));
    events.runUntil(runMs);
    const inForce = changes.map(({ at, versions }) =>
        Math.max(...regions.map((region, i) => {
            const version = versions[i] ?? 0;
            return region.reachedByAll() < version
                ? Number.POSITIVE_INFINITY
                : (region.lastInForce[version] ?? at) - at;
        }))
    ).sort((a, b) => a - b);
    const seconds = (runMs - warmUpMs) / 1_000;
    const subscribers = regions.flatMap(region => region.subscribers);
    const perSecond = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length / seconds;
    const relays = regions.flatMap(({ relays: own, relayUpstream }) =>
        own.map((relay, i) => relay.traffic.bytes + (relayUpstream[i]?.bytes ?? 0))
    );
    const delays = regions[0]?.delays;
    regions.slice(1).forEach(region => delays?.add(region.delays));
    return {
        changes: changes.length,
        inForceP50Ms: inForce[Math.floor(inForce.length / 2)] ?? 0,
        inForceP95Ms: inForce[Math.floor(inForce.length * 0.95)] ?? 0,
        inForceMaxMs: inForce.at(-1) ?? 0,
        subscriberP50Ms: delays?.getValueAtPercentile(50) ?? 0,
        subscriberP99Ms: delays?.getValueAtPercentile(99) ?? 0,
        nodeBytesPerSecond: perSecond(subscribers.map(({ traffic }) => traffic.bytes)),
        nodeMessagesPerSecond: perSecond(subscribers.map(({ traffic }) => traffic.messages)),
        leaderBytesPerSecond: perSecond(regions.map(({ leader }) => leader.traffic.bytes)),
        ...(relays.length === 0 ? {} : { relayBytesPerSecond: perSecond(relays) }),
        withoutPermitMsPerNode: subscribers.reduce((sum, { withoutPermitMs }) => sum + withoutPermitMs, 0)
            / subscribers.length,
        leastPermitMs: Math.min(...subscribers.map(({ leastPermitMs }) => leastPermitMs)),
    };
}
