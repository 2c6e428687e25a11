import type { AnswerTimes, Dispatcher, DispatchQueue, LatencyModel } from "@lentilramp/dispatch";
import type { HeaderCodec } from "@lentilramp/exchange";
import type { Endpoint } from "@lentilramp/fleet";
import type { PollBarrier, ReadScheduler } from "@lentilramp/protocol";
import type { RetryBudget } from "@lentilramp/retries";
import type { Clock, EventLog, Metrics } from "@lentilramp/runtime";
import type { IncomingMessage } from "node:http";
import type { CallerConnections } from "./caller-connections.ts";
import type { CrashDetector } from "./crash-detector.ts";
import type { ServiceCandidates } from "./endpoint-candidates.ts";
import type { EndpointPool } from "./endpoint-pool.ts";
import type { FleetView } from "./fleet-view.ts";
import type { LimitGate } from "./limit-gate.ts";
import type { Peer } from "./peer-selection.ts";
import type { PlannedStop } from "./planned-stop.ts";
import type { ReachMonitor } from "./reach-monitor.ts";
import type { RoomGate } from "./room-gate.ts";
import type { VersionPredicate } from "./version-parts.ts";
import type { VersionSplit } from "./version-split.ts";

/** Services of the relay that a call uses. */
export interface RelayContext {
    view: FleetView;
    pool: EndpointPool;
    headerCodec: HeaderCodec;
    dispatcher: Dispatcher;
    clock: Clock;
    log: EventLog;
    metrics: Metrics;
    queue(service: string): DispatchQueue<Endpoint>;
    latencyModel(service: string): LatencyModel;
    retryBudget(service: string): RetryBudget;
    /** Returns the endpoints of a service that a request may be sent to now, of the versions that it may use. */
    candidatePool(service: string, mayUse: VersionPredicate): ServiceCandidates;
    /** Whether an endpoint is ready whose version may be used. */
    hasReady(service: string, mayUse: VersionPredicate): boolean;
    readonly limitGate: LimitGate;
    readonly roomGate: RoomGate;
    /** Undefined if the policy switches the detection of crashing prompt parts off. */
    readonly crashDetector: CrashDetector | undefined;
    maxIdleConnections(service: string): number;
    readonly connections: CallerConnections;
    readonly stop: PlannedStop;
    readonly pollBarrier: PollBarrier;
    readonly readScheduler: ReadScheduler;
    readonly answerTimes: AnswerTimes;
    readonly reach: ReachMonitor;
    /** Undefined if the deployment does not roll versions out. */
    readonly versionSplit: VersionSplit | undefined;
    /** Returns the peers to which a request may be forwarded, in the order in which they are asked. */
    peersFor(req: IncomingMessage): readonly Peer[];
    /** Whether a broken stream may be resumed at another endpoint. */
    readonly resumesStreams: boolean;
    addDemand(service: string, demand: EngineDemand): void;
}

/** Work that arrived for an engine service, and the prefill speed of its engines once it is measured. */
export interface EngineDemand {
    /** Prompt tokens that are not in an engine's cache. */
    unreadTokens: number;
    /** All prompt tokens, which engines with empty caches would have to read. */
    promptTokens: number;
    /** Time for which the requests would occupy slots. */
    placeMs: number;
    prefillTokensPerMs?: number;
}
