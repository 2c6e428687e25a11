import { operationId } from "./operation-id.ts";
import type { EngineOrder, FleetInstance, RoleShare } from "./types.ts";

/** Strategy that assigns roles to the engines of one failure domain. */
export abstract class RoleAssignment {
    abstract roleOrders(roles: readonly RoleShare[], members: readonly FleetInstance[], fencing: number): EngineOrder[];
}

/**
 * Assigns roles in proportion to their shares by the largest remainder method. An engine keeps its role unless the role
 * has more engines than assigned.
 */
export class ProportionalRoles extends RoleAssignment {
    override roleOrders(
        roles: readonly RoleShare[],
        members: readonly FleetInstance[],
        fencing: number,
    ): EngineOrder[] {
        const quotas = roles.map(({ role, share }) => ({ role, quota: share * members.length }));
        const counts = new Map(quotas.map(({ role, quota }) => [role, Math.floor(quota)]));
        const unassigned = members.length - [...counts.values()].reduce((sum, count) => sum + count, 0);
        [...quotas]
            .sort((a, b) => b.quota % 1 - a.quota % 1 || (a.role < b.role ? -1 : 1))
            .slice(0, unassigned)
            .forEach(({ role }) => counts.set(role, (counts.get(role) ?? 0) + 1));
        const reassigned: FleetInstance[] = [];
        for (const member of [...members].sort((a, b) => a.id < b.id ? -1 : 1)) {
            const remaining = counts.get(member.role) ?? 0;
            if (remaining > 0) {
                counts.set(member.role, remaining - 1);
            }
            else {
                reassigned.push(member);
            }
        }
        const openRoles = [...counts].flatMap(([role, count]) => new Array<string>(count).fill(role));
        return reassigned.flatMap((member, i) => {
            const target = openRoles[i];
            return target === undefined ? [] : [{
                kind: "set-role" as const,
                operationId: operationId("set-role", member.id, member.role, target),
                fencing,
                instanceId: member.id,
                target,
                bytes: 0,
            }];
        });
    }
}
