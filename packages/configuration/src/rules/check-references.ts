import { collectionNames, type Item, keyOf } from "../change/collections.ts";
import type { Configuration } from "../schema/index.ts";

/**
 * Returns one message for each duplicate key and each reference to an item that is not in the configuration. Each
 * message names the item and the missing reference.
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
    const require = (known: { has(key: string): boolean; }, key: string, kind: string, where: string) => {
        if (!known.has(key)) {
            problems.push(`${where} names the unknown ${kind} "${key}"`);
        }
    };
    for (const link of configuration.links) {
        require(domains, link.from, "failure domain", `link "${link.from}>${link.to}"`);
        require(domains, link.to, "failure domain", `link "${link.from}>${link.to}"`);
    }
    for (const endpoint of configuration.endpoints) {
        require(domains, endpoint.failureDomain, "failure domain", `endpoint "${endpoint.id}"`);
        endpoint.models.forEach(model => require(models, model, "model", `endpoint "${endpoint.id}"`));
        endpoint.services.forEach(service => require(services, service, "service", `endpoint "${endpoint.id}"`));
    }
    for (const member of [...configuration.entries, ...configuration.controlMembers]) {
        require(domains, member.failureDomain, "failure domain", `member "${member.id}"`);
    }
    for (const { generation, replicas } of configuration.claimGenerations) {
        replicas.forEach(replica =>
            require(domains, replica.failureDomain, "failure domain", `claim generation ${generation}`)
        );
    }
    for (const { name, target } of configuration.routes) {
        if (target.kind === "engine") {
            require(models, target.model, "model", `route "${name}"`);
            continue;
        }
        require(services, target.service, "service", `route "${name}"`);
        const operations = new Set(services.get(target.service)?.operations.map(operation => operation.name));
        if (target.operation !== undefined && services.has(target.service)) {
            require(operations, target.operation, "operation", `route "${name}"`);
        }
    }
    return problems;
}
