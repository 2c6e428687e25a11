import { ClaimCoordinator } from "@lentilramp/claims";
import {
    AddressHandler,
    AtMostOnceCaller,
    attachEntryMethods,
    ChatHandler,
    ConfigurationSubscriber,
    DrainGate,
    EndpointObserver,
    EngineSelector,
    FairAdmission,
    fairAdmissionSettings,
    IdempotentCaller,
    InFlightCalls,
    InstanceListPoller,
    MembershipService,
    ReclaimMover,
    RequestGate,
    RpcClaimTransport,
    ServiceDispatcher,
    ServiceHandler,
    SilenceMonitor,
    StreamTable,
    UpstreamClient,
} from "@lentilramp/entry";
import { RetryBudget } from "@lentilramp/retries";
import type { EntrySettings } from "@lentilramp/settings";
import { v7 as newId } from "uuid";
import type { ProcessBase } from "./wire.ts";

/** Wires an entry process. */
export function wireEntry(settings: EntrySettings, base: ProcessBase): void {
    const { clock, random, log, metrics, dump, lifecycle, http, client, server } = base;
    const { bodyLimitBytes } = settings;
    const upstream = new UpstreamClient(clock);
    const subscriber = new ConfigurationSubscriber(settings.control, client, clock, log);
    const observer = new EndpointObserver(settings.name, settings.failureDomain, upstream, clock, random, log);
    subscriber.onChange(() => {
        if (subscriber.view.configuration !== undefined) {
            observer.setConfiguration(subscriber.view.configuration);
        }
    });
    const membership = settings.membership
        ? new MembershipService({ id: settings.name, ...settings.listen }, base.key, clock, random, log)
        : undefined;
    subscriber.onChange(() => membership?.setCandidates(subscriber.view.configuration?.entries ?? []));
    const streams = new StreamTable();
    const calls = new InFlightCalls();
    const silence = new SilenceMonitor(upstream, clock, log, metrics);
    const selector = new EngineSelector(observer, random);
    const mover = new ReclaimMover(
        streams,
        selector,
        upstream,
        () => subscriber.view.configuration?.entries.length ?? 1,
        clock,
        log,
        metrics,
    );
    observer.onLeaving(endpoint => void mover.onNotice(endpoint));
    const gate = new RequestGate(subscriber, clock);
    const budget = new RetryBudget();
    const admission = new FairAdmission(
        workspace => subscriber.view.configuration?.workspaces.find(other => other.id === workspace)?.share ?? 1,
        clock,
        metrics,
        {
            ...fairAdmissionSettings,
            engine: { ...fairAdmissionSettings.engine, initialLimit: settings.engineConcurrency },
        },
    );
    const coordinator = new ClaimCoordinator({
        clock,
        transport: new RpcClaimTransport(client),
        generations: () =>
            (subscriber.view.configuration?.claimGenerations ?? []).map(generation => ({
                ...generation,
                replicas: generation.replicas.map(replica => ({
                    ...replica,
                    address: `${replica.address.host}:${replica.address.port}`,
                })),
            })),
        mayDispatch: () => subscriber.mayDispatch(clock.now()),
        newClaimant: () => `${settings.name}/${newId()}`,
    });
    const dispatcher = new ServiceDispatcher(observer, upstream, calls, clock, random);
    const once = new AtMostOnceCaller(coordinator, dispatcher, clock, log, metrics);
    const chat = new ChatHandler(
        gate,
        admission,
        streams,
        { selector, upstream, silence, clock, log, metrics, budget, random },
        bodyLimitBytes,
    );
    const services = new ServiceHandler({
        gate,
        admission,
        idempotent: new IdempotentCaller(dispatcher, budget, clock, random, log, metrics),
        atMostOnce: once,
        coordinator,
        subscriber,
        clock,
        log,
        bodyLimitBytes,
    });
    const addresses = new AddressHandler(
        subscriber,
        settings.failureDomain,
        entry => (entry.id !== settings.name || !gate.isDraining) && membership?.isUsable(entry.id) !== false,
        clock,
    );
    const status = (): Record<string, unknown> => ({
        state: lifecycle.state,
        failureDomain: settings.failureDomain,
        version: subscriber.view.version,
        permitMs: Math.max(0, Math.round(subscriber.permit.validUntil - clock.now())),
        inFlight: streams.size + calls.byEndpoint.total,
        accepted: gate.accepted,
        refused: gate.refused,
    });
    http.route("GET", "/v1/addresses", async (req, res) => {
        void req;
        addresses.handle(res);
    });
    http.route("POST", "/v1/chat/completions", (req, res) => chat.handle(req, res));
    http.route("POST", "/v1/services/:service/:operation", (req, res, params) => services.handle(req, res, params));
    http.route("GET", "/v1/requests/:key", (req, res, params) => {
        void req;
        return services.handleOutcomeQuery(res, params, false);
    });
    http.route("POST", "/v1/requests/:key/seal", (req, res, params) => {
        req.resume();
        return services.handleOutcomeQuery(res, params, true);
    });
    attachEntryMethods(server, streams, calls, status);
    server.attach(http);
    dump.add("status", status);
    dump.add("configuration", () => subscriber.view.configuration);
    dump.add("streams", () => streams.countByEndpoint());
    dump.add("calls", () => calls.byEndpoint);
    dump.add("admission", () => admission.status);
    lifecycle.register(client);
    lifecycle.register(subscriber);
    lifecycle.register(observer);
    if (settings.instanceListUrl !== undefined) {
        lifecycle.register(new InstanceListPoller(new URL(settings.instanceListUrl), observer, upstream, clock));
    }
    lifecycle.register(silence);
    lifecycle.register(http);
    if (membership !== undefined) {
        dump.add("membership", () => membership.dump());
        lifecycle.register(membership);
    }
    lifecycle.register(new DrainGate(gate, once));
}
