import { collectionNames, type Item, keyOf } from "../change/collections.ts";
import type { Configuration } from "../schema/index.ts";

/**
 * Returns one message for each duplicate key and for each reference to an item that is not in the configuration. A
 * message about a reference names the referring item and the missing one.
 */
export function checkReferences(configuration: Configuration): string[] {
    const problems: string[] = [];
    for (const name of collectionNames) {
        const seen = new Set<string>();
        for (const item of configuration[name] as Item<typeof name>[]) {
            const key = keyOf(name, item as never);
            if (seen.has(key)) {
                problems.push(`${name} "${key}" occurs twice`);
            }
            seen.add(key);
        }
    }
    const domains = new Set(configuration.failureDomains.map(domain => domain.id));
    const models = new Set(configuration.models.map(model => model.name));
    const services = new Map(configuration.services.map(service => [service.name, service]));
    const requireKnown = (known: { has(key: string): boolean; }, key: string, kind: string, referrer: string) => {
        if (!known.has(key)) {
            problems.push(`${referrer} names the unknown ${kind} "${key}"`);
        }
    };
    for (const link of configuration.links) {
        requireKnown(domains, link.from, "failure domain", `link "${link.from}>${link.to}"`);
        requireKnown(domains, link.to, "failure domain", `link "${link.from}>${link.to}"`);
    }
    for (const endpoint of configuration.endpoints) {
        requireKnown(domains, endpoint.failureDomain, "failure domain", `endpoint "${endpoint.id}"`);
        endpoint.models.forEach(model => requireKnown(models, model, "model", `endpoint "${endpoint.id}"`));
        endpoint.services.forEach(service => requireKnown(services, service, "service", `endpoint "${endpoint.id}"`));
    }
    for (const member of [...configuration.entries, ...configuration.controlMembers]) {
        requireKnown(domains, member.failureDomain, "failure domain", `member "${member.id}"`);
    }
    for (const { generation, replicas } of configuration.claimGenerations) {
        replicas.forEach(replica =>
            requireKnown(domains, replica.failureDomain, "failure domain", `claim generation ${generation}`)
        );
    }
    for (const { name, target } of configuration.routes) {
        if (target.kind === "engine") {
            requireKnown(models, target.model, "model", `route "${name}"`);
            continue;
        }
        requireKnown(services, target.service, "service", `route "${name}"`);
        const operations = new Set(services.get(target.service)?.operations.map(operation => operation.name));
        if (target.operation !== undefined && services.has(target.service)) {
            requireKnown(operations, target.operation, "operation", `route "${name}"`);
        }
    }
    return problems;
}
