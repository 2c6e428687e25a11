import type { Configuration, ConfigurationInput, Endpoint, Link, Route } from "@lentilramp/configuration";
import { configurationSchema } from "@lentilramp/configuration";
import type { Model, Operation, Questionnaire, Service } from "./questionnaire-schema.ts";

const latencyPercentile = 95;
const hedgePercentile = 95;
const maxAttempts = 3;
const baseBackoffMs = 50;
const maxBackoffMs = 500;
const costWeights = { latency: 0.2, cost: 0.8 } as const;
const priorityWeights = { high: 4, normal: 2, low: 1 } as const;

type EndpointInput = ConfigurationInput["endpoints"] extends (infer E)[] | undefined ? E : never;

function compareBy<T>(key: (item: T) => string): (a: T, b: T) => number {
    return (a, b) => key(a) < key(b) ? -1 : 1;
}

function generateLinks(answers: Questionnaire): Link[] {
    const localLinks = answers.failureDomains.map(domain => ({
        from: domain,
        to: domain,
        oneWayDelayMs: 0,
        relativeCost: 1,
    }));
    const remoteLinks = answers.links.flatMap(({ between: [a, b], oneWayMs, relativeCost }) => [
        { from: a, to: b, oneWayDelayMs: oneWayMs, relativeCost },
        { from: b, to: a, oneWayDelayMs: oneWayMs, relativeCost },
    ]);
    return [...localLinks, ...remoteLinks].sort(compareBy(link => `${link.from} ${link.to}`));
}

function modelEndpoints(model: Model): EndpointInput[] {
    return model.replicas.map(replica => ({
        ...replica,
        kind: "engine",
        models: [model.name],
        adapters: model.adapters.map(adapter => ({ name: adapter, version: model.version })),
        checksFencing: model.enginesCheckFencing,
    }));
}

function serviceEndpoints(service: Service): EndpointInput[] {
    return service.replicas.map(replica => ({ ...replica, kind: "service", services: [service.name] }));
}

function retryPolicy(retriesAllowed: boolean): Route["retry"] {
    return { maxAttempts: retriesAllowed ? maxAttempts : 1, baseBackoffMs, maxBackoffMs };
}

function modelRoute(model: Model, answers: Questionnaire): Route {
    return {
        name: `model/${model.name}`,
        target: { kind: "engine", model: model.name },
        latencyTarget: {
            percentile: latencyPercentile,
            firstTokenMs: model.firstTokenMs,
            tokenGapMs: model.betweenTokensMs,
        },
        retry: retryPolicy(true),
        hedge: { enabled: answers.weighs === "latency", afterPercentile: hedgePercentile },
    };
}

function operationRoute(service: Service, operation: Operation, answers: Questionnaire): Route {
    return {
        name: `service/${service.name}/${operation.name}`,
        target: { kind: "service", service: service.name, operation: operation.name },
        latencyTarget: { percentile: latencyPercentile, totalMs: operation.promisedMs },
        retry: retryPolicy(operation.automaticRetries),
        hedge: {
            enabled: operation.idempotent && operation.automaticRetries && answers.weighs === "latency",
            afterPercentile: hedgePercentile,
        },
    };
}

/**
 * Generates a configuration from the answers. The result depends only on `answers` and `current`, the configuration in
 * force. State that the system manages (lifecycle, claim generations, tombstones) is copied from `current`.
 */
export function generateConfiguration(answers: Questionnaire, current?: Configuration): Configuration {
    const models = answers.teams.flatMap(team => team.models);
    const services = answers.teams.flatMap(team => team.services);
    const totalShare = answers.workspaces.reduce((sum, workspace) => sum + workspace.share, 0);
    const lifecycleOf = (endpoint: EndpointInput): Endpoint["lifecycle"] =>
        current?.endpoints.find(other => other.id === endpoint.id)?.lifecycle ?? "active";
    return configurationSchema.parse(
        {
            region: answers.region,
            costWeight: costWeights[answers.weighs],
            failureDomains: [...answers.failureDomains].sort().map(id => ({ id, region: answers.region })),
            links: generateLinks(answers),
            endpoints: [...models.flatMap(modelEndpoints), ...services.flatMap(serviceEndpoints)]
                .sort(compareBy(endpoint => endpoint.id))
                .map(endpoint => ({ ...endpoint, lifecycle: lifecycleOf(endpoint) })),
            services: [...services].sort(compareBy(service => service.name)).map(service => ({
                name: service.name,
                operations: service.operations.map(operation => ({
                    name: operation.name,
                    idempotent: operation.idempotent,
                    latencyPromiseMs: operation.promisedMs,
                })),
                lifecycle: current?.services.find(other => other.name === service.name)?.lifecycle ?? "active",
            })),
            models: [...models].sort(compareBy(model => model.name)).map(model => ({ name: model.name })),
            workspaces: [...answers.workspaces].sort(compareBy(workspace => workspace.id)).map(workspace => ({
                id: workspace.id,
                share: workspace.share / totalShare,
                weights: priorityWeights,
                lifecycle: current?.workspaces.find(other => other.id === workspace.id)?.lifecycle ?? "active",
            })),
            routes: [
                ...models.map(model => modelRoute(model, answers)),
                ...services.flatMap(service =>
                    service.operations.map(operation => operationRoute(service, operation, answers))
                ),
            ].sort(compareBy(route => route.name)),
            entries: [...answers.entries].sort(compareBy(entry => entry.id)),
            controlMembers: [...answers.control].sort(compareBy(member => member.id)),
            claimGenerations: current?.claimGenerations ?? [],
            tombstones: current?.tombstones ?? [],
            version: current?.version ?? 0,
        } satisfies ConfigurationInput,
    );
}
