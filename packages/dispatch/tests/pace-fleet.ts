import {
    type Candidate,
    dispatchDefaults,
    Dispatcher,
    type DispatchOptions,
    type DispatchRequest,
    type EndpointChoice,
    EndpointHealth,
    EndpointPace,
    type InFlightRequest,
    LoadTracker,
    ServiceModel,
} from "@lentilramp/dispatch";
import { PaceMerge } from "@lentilramp/fleet";
import { ManualClock, SeededRandom } from "@lentilramp/runtime";

export interface PaceFleetOptions {
    seed: number;
    deciders: number;
    endpoints: number;
    slots: number;
    requestsPerSecond: number;
    /** Age of the load and of the fleet's factors that deciders know of each other, in milliseconds. */
    delayMs: number;
    /** Service time of an answer, without its random part. */
    serviceMs: (endpoint: number, now: number, running: number) => number;
    /** The pace that an endpoint states; undefined for none. */
    statedPace: (endpoint: number, now: number) => number | undefined;
    untilMs: number;
    dispatch?: Partial<DispatchOptions>;
}

export interface PaceFleetAnswer {
    endpoint: number;
    at: number;
    predictedMs: number;
    measuredMs: number;
    /** Requests at the endpoint, including this one, when it arrived there. */
    running: number;
}

interface Decider {
    loads: LoadTracker;
    dispatcher: Dispatcher;
    model: ServiceModel;
    pace: EndpointPace;
}

/** Runs ingresses before the endpoints of one plain service, and returns all answers in the order of their arrivals. */
export function runPaceFleet(options: PaceFleetOptions): PaceFleetAnswer[] {
    const clock = new ManualClock();
    const random = new SeededRandom(options.seed);
    const endpoints: Candidate[] = [...Array(options.endpoints).keys()].map(i => ({
        id: `e${i}`,
        failureDomain: "a",
        slots: options.slots,
    }));
    const running = endpoints.map(() => 0);
    const deciders: Decider[] = [...Array(options.deciders).keys()].map(i => {
        const loads = new LoadTracker();
        const pace = new EndpointPace(clock);
        const dispatcher = new Dispatcher(
            loads,
            new EndpointHealth(),
            new SeededRandom(options.seed * 1_000 + i),
            { ...dispatchDefaults, ...options.dispatch },
        );
        return { loads, pace, dispatcher, model: new ServiceModel(pace) };
    });
    const answers: PaceFleetAnswer[] = [];
    const send = (decider: Decider, { endpoint, prediction, running: known }: EndpointChoice<Candidate>): void => {
        const now = clock.now();
        const index = endpoints.indexOf(endpoint);
        const booking: InFlightRequest = decider.loads.trackRequest(endpoint.id, prediction, now);
        running[index] = (running[index] ?? 0) + 1;
        const count = running[index] ?? 0;
        // The random part has a long tail and the mean 1.
        const noise = 0.5 - 0.5 * Math.log(1 - random.next());
        const excess = Math.max(1, count / options.slots);
        const measuredMs = options.serviceMs(index, now, count) * noise * excess;
        answers.push({
            endpoint: index,
            at: now,
            predictedMs: prediction.firstByteMs,
            measuredMs,
            running: count,
        });
        clock.schedule(now + measuredMs, () => {
            running[index] = (running[index] ?? 0) - 1;
            booking.recordEnd();
            decider.pace.recordReport(endpoint.id, options.statedPace(index, clock.now()));
            decider.model.observe(measuredMs, { endpoint, prediction, running: known });
        });
    };
    // Each decider hears of the load of the others with a delay.
    const report = (): void => {
        const snapshots = deciders.map(({ loads }) => loads.localLoad());
        const total = new Map<string, number>();
        for (const snapshot of snapshots) {
            snapshot.forEach((load, id) => total.set(id, (total.get(id) ?? 0) + load.running));
        }
        clock.schedule(clock.now() + options.delayMs, () =>
            deciders.forEach(({ loads }, i) => {
                const others = [...total].map(([id, sum]) =>
                    [id, { running: sum - (snapshots[i]?.get(id)?.running ?? 0), unreadTokens: 0 }] as const
                );
                loads.setRelayedLoad(Object.fromEntries(others), clock.now());
            }));
        clock.schedule(clock.now() + 50, report);
    };
    report();
    // Each decider tells the leader its evidence each 250 ms, and gets what the fleet sees.
    const merge = new PaceMerge();
    deciders.forEach(({ pace }) => {
        const sync = (): void => {
            merge.record(Object.fromEntries(pace.takeReports()), clock.now());
            const factors = merge.factors(clock.now());
            clock.schedule(
                clock.now() + options.delayMs,
                () => pace.applyFleetFactors(new Map(Object.entries(factors ?? {}))),
            );
            clock.schedule(clock.now() + 250, sync);
        };
        clock.schedule(250 * random.next(), sync);
    });
    let id = 0;
    const arrive = (): void => {
        const now = clock.now();
        const decider = deciders[random.nextInt(deciders.length)];
        if (decider !== undefined) {
            const req: DispatchRequest = {
                id: String(id++),
                service: "s",
                workspace: "w",
                rank: 0,
                arrivedAt: now,
                targetAt: now + 2_000,
                deadline: now + 10_000,
                work: undefined,
            };
            const choice = decider.dispatcher.choose(req, endpoints, decider.model, now);
            if (choice !== undefined) {
                send(decider, choice);
            }
        }
        clock.schedule(now - Math.log(1 - random.next()) * 1_000 / options.requestsPerSecond, arrive);
    };
    arrive();
    clock.advanceTo(options.untilMs);
    return answers;
}
