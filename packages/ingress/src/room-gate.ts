import {
    type Candidates,
    type Dispatcher,
    type DispatchRequest,
    type EndpointChoice,
    EngineModel,
    engineSpeedDefaults,
    expectedSlotMs,
    type LatencyModel,
    type QueueRule,
} from "@lentilramp/dispatch";
import type { SyncAnswer, SyncRequest } from "@lentilramp/exchange";
import { type Endpoint, syncIntervalMs } from "@lentilramp/fleet";
import {
    type AdmissionLevel,
    type AdmissionLevels,
    admittedShare,
    drawPosition,
    lowestShare,
    minRetryMs,
    RetrySpread,
    RoomLedger,
} from "@lentilramp/room";
import type { Clock, Metrics, RandomSource } from "@lentilramp/runtime";
import type { AdmittedRequest } from "./admission.ts";
import type { Refusal } from "./check-request.ts";
import type { FleetView } from "./fleet-view.ts";
import type { EngineDemand } from "./relay-context.ts";

/** Sync intervals for which a level is valid after the request for it was sent. */
const levelIntervals = 3;
/** Time for which the endpoints of a service count as reporting their pace after the last such report, in milliseconds. */
const paceKnownMs = 60_000;
/** Part of the slots that are taken, or of the engines that read prompts, above which a level applies. */
const takenPart = 0.5;
/**
 * Time for which the count of the taken slots of a service is reused, in milliseconds, and that for each of its endpoints:
 * counting 7,400 of them takes 0.3 ms, and a level lasts for seconds.
 */
const loadLifetimeMs = 10;
const loadLifetimeMsPerEndpoint = 0.02;
/** Slot time of a request that declares no work, until one has been measured, in milliseconds. */
const initialSlotMs = 80;
/** Weight of a new sample in the moving average of that time. */
const sampleWeight = 0.05;

/** Parts of an ingress that the gate uses. */
export interface RoomGateContext {
    view: Pick<FleetView, "memberCount"> & {
        caps: Pick<FleetView["caps"], "refund">;
        endpoints: Pick<FleetView["endpoints"], "readyEndpoints">;
        loads: Pick<FleetView["loads"], "load">;
    };
    clock: Clock;
    metrics: Metrics;
    dispatcher: Dispatcher;
    latencyModel(service: string): LatencyModel;
    /** Returns the endpoints of a service that a request may be sent to now, of all versions. */
    candidates(service: string): Candidates<Endpoint>;
    addDemand(service: string, demand: EngineDemand): void;
}

/** What a service has been seen to do at this ingress. */
interface ServiceRecord {
    /** Instant of the last report of a pace by one of its endpoints. */
    paceAt: number;
    /** Average slot time of requests that declare no work, in milliseconds. */
    slotMs: number;
    /** Whether more than half of it is taken, and until when that count is reused. */
    halfTaken: { until: number; value: boolean; };
}

/**
 * Applies the fleet's admission level to the requests of this ingress, and counts the work that arrives and is served for
 * the leader. Only services whose endpoints report their pace have levels.
 */
export class RoomGate {
    private readonly ledger: RoomLedger;
    private readonly retries: RetrySpread;
    private readonly services = new Map<string, ServiceRecord>();
    private levels: AdmissionLevels = {};
    private levelsValidUntil = -Infinity;
    /** Instant at which the sync was sent whose answer contained the levels. */
    private levelsAskedAt = -Infinity;
    /** Services that have had a level, for the metric. */
    private readonly restricted = new Set<string>();

    constructor(
        private readonly ctx: RoomGateContext,
        private readonly enabled: boolean,
        private readonly random: RandomSource,
    ) {
        this.ledger = new RoomLedger(ctx.clock.now(), service => this.reportsPace(service));
        this.retries = new RetrySpread(random);
    }

    /** Records that an endpoint of the service has reported its pace. */
    recordPace(service: string): void {
        this.record(service).paceAt = this.ctx.clock.now();
    }

    /** Whether the endpoints of a service report their pace. */
    reportsPace(service: string): boolean {
        return this.ctx.clock.now() - (this.services.get(service)?.paceAt ?? -Infinity) < paceKnownMs;
    }

    /**
     * Returns the refusal of a request that the level in force does not admit, after a refund of its cap units. A request
     * that takes up a stream is not subject to the level: its caller has events already, and would be left with a broken
     * stream.
     */
    decide(
        { dispatch, workspace, units, origin }: Pick<AdmittedRequest, "dispatch" | "workspace" | "units" | "origin">,
    ): Refusal | undefined {
        const level = this.level(dispatch.service);
        if (level === undefined || origin !== undefined) {
            return undefined;
        }
        const { service, rank, id } = dispatch;
        const share = admittedShare(level, rank, dispatch.workspace);
        if (drawPosition(id, this.random) < share) {
            return undefined;
        }
        const best = this.ctx.dispatcher.choose(
            dispatch,
            this.ctx.candidates(service),
            this.ctx.latencyModel(service),
            this.ctx.clock.now(),
        );
        if (!this.isLoaded(dispatch, best)) {
            return undefined;
        }
        if (workspace !== undefined) {
            this.ctx.view.caps.refund(workspace, units);
        }
        this.recordArrival(dispatch, best);
        this.ctx.metrics.count("room_refusals", 1, { service, rank: String(rank) });
        return {
            status: 503,
            reason: "admission level",
            retryAfterMs: this.retries.nextDelayMs(level.clearMs),
            inputs: { service, rank, workspace: dispatch.workspace, share, clearMs: level.clearMs },
        };
    }

    /**
     * Returns the level in force for a request and whether it applies now; undefined if there is none. Nothing is drawn,
     * counted or stored. `best` is the endpoint that would answer first.
     */
    preview(
        dispatch: DispatchRequest,
        best: EndpointChoice<Endpoint> | undefined,
    ):
        | { admittedShare: number; ranks: [number, number][]; clearMs: number; ageMs: number; applies: boolean; }
        | undefined
    {
        const level = this.level(dispatch.service);
        return level && {
            admittedShare: admittedShare(level, dispatch.rank, dispatch.workspace),
            ranks: level.ranks,
            clearMs: level.clearMs,
            ageMs: this.ctx.clock.now() - this.levelsAskedAt,
            applies: this.isLoaded(dispatch, best, service => this.currentlyHalfTaken(service)),
        };
    }

    /**
     * Counts a request that has arrived, whether it will be served or refused; `best` is the endpoint that would answer
     * first. Returns the time for which it is expected to occupy a slot, in milliseconds.
     */
    recordArrival(dispatch: DispatchRequest, best: EndpointChoice<Endpoint> | undefined): number {
        const { service, work } = dispatch;
        if (work === undefined) {
            const { slotMs } = this.record(service);
            this.ledger.recordArrival(dispatch, { slotMs, promptTokens: 0 });
            return slotMs;
        }
        const unreadTokens = best?.prediction.unreadTokens ?? work.promptTokens;
        const model = this.ctx.latencyModel(service);
        const speed = model instanceof EngineModel ? model.speedEstimate.speed : engineSpeedDefaults;
        const placeMs = expectedSlotMs(work, unreadTokens, speed);
        this.ctx.addDemand(service, { unreadTokens, promptTokens: work.promptTokens, placeMs });
        this.ledger.recordArrival(dispatch, { slotMs: placeMs, promptTokens: unreadTokens });
        return placeMs;
    }

    /** Counts a request that was served, with the slot time that was expected on its arrival and the measured one. */
    recordServed(dispatch: DispatchRequest, expectedMs: number, occupiedMs: number): void {
        this.ledger.recordServed(dispatch, expectedMs, occupiedMs);
        if (dispatch.work === undefined) {
            const record = this.record(dispatch.service);
            record.slotMs += (occupiedMs - record.slotMs) * sampleWeight;
        }
    }

    /** Returns the field `room` of a sync that is sent now; undefined if the policy switches fleet admission off. */
    takeReport(): SyncRequest["room"] {
        return this.enabled ? this.ledger.takeReport(this.ctx.clock.now()) : undefined;
    }

    /** Applies the answer to a sync that was sent at `sentAt`. */
    applyAnswer({ leading, room }: SyncAnswer, sentAt: number): void {
        if (!leading) {
            return;
        }
        this.ledger.confirm(sentAt);
        this.levels = room ?? {};
        this.levelsAskedAt = sentAt;
        this.levelsValidUntil = sentAt + syncIntervalMs(this.ctx.view.memberCount) * levelIntervals;
        Object.keys(this.levels).forEach(service => this.restricted.add(service));
    }

    /** Returns the smallest admitted share of each service that has had a level. */
    lowestShares(): Map<string, number> {
        return new Map([...this.restricted].map(service => [service, lowestShare(this.level(service))]));
    }

    /** Returns how the queue of a service is shared. */
    queueRule(service: string): QueueRule {
        return {
            isShared: () => this.enabled && this.reportsPace(service),
            onYield: ({ rank }) => {
                this.ctx.metrics.count("queue_yields", 1, { service, rank: String(rank) });
                return this.retries.nextDelayMs(this.level(service)?.clearMs ?? minRetryMs);
            },
        };
    }

    /** Returns the level in force; undefined if there is none, or the leader has not been heard for too long. */
    private level(service: string): AdmissionLevel | undefined {
        return this.enabled && this.ctx.clock.now() < this.levelsValidUntil && this.reportsPace(service)
                && Object.hasOwn(this.levels, service)
            ? this.levels[service]
            : undefined;
    }

    /**
     * Whether more than half of the service is taken as this ingress sees it, or no endpoint can answer on time that could
     * if it were idle. Otherwise nothing must be refused, whatever the level says.
     */
    private isLoaded(
        dispatch: DispatchRequest,
        best: EndpointChoice<Endpoint> | undefined,
        isHalfTaken = (service: string): boolean => this.isHalfTaken(service),
    ): boolean {
        if (best === undefined) {
            // The queue decides on requests for which there is no endpoint.
            return false;
        }
        const { clock, dispatcher } = this.ctx;
        // A request that is late for its size alone is no sign of load. Both conditions use the budget of its rank.
        const isLateForLoad = !best.onTime && best.running > 0 && dispatcher.couldBeOnTime(dispatch, best, clock.now());
        return isLateForLoad || isHalfTaken(dispatch.service);
    }

    private isHalfTaken(service: string): boolean {
        const record = this.record(service);
        const value = this.currentlyHalfTaken(service);
        const now = this.ctx.clock.now();
        if (now >= record.halfTaken.until) {
            const { length } = this.ctx.view.endpoints.readyEndpoints(service);
            const lifetimeMs = Math.max(loadLifetimeMs, length * loadLifetimeMsPerEndpoint);
            record.halfTaken = { until: now + lifetimeMs, value };
        }
        return value;
    }

    /** Returns the count of `isHalfTaken` if that may be reused, and otherwise a new one, which is not kept. */
    private currentlyHalfTaken(service: string): boolean {
        const { clock, view } = this.ctx;
        const now = clock.now();
        const known = this.services.get(service)?.halfTaken;
        if (known !== undefined && now < known.until) {
            return known.value;
        }
        const endpoints = view.endpoints.readyEndpoints(service);
        const loads = endpoints.map(({ id }) => view.loads.load(id, now));
        const running = loads.reduce((sum, load) => sum + load.running, 0);
        const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
        const reading = loads.filter(({ unreadTokens }) => unreadTokens > 0).length;
        return running > slots * takenPart || reading > endpoints.length * takenPart;
    }

    private record(service: string): ServiceRecord {
        const record = this.services.get(service)
            ?? { paceAt: -Infinity, slotMs: initialSlotMs, halfTaken: { until: -Infinity, value: false } };
        this.services.set(service, record);
        return record;
    }
}
