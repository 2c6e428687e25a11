import { operationId } from "./operation-id.ts";
import type { EngineOrder, FleetInstance, RoleShare } from "./types.ts";

/** Decides the roles of the engines of one failure domain. */
export abstract class RoleAssignment {
    abstract changes(roles: readonly RoleShare[], members: readonly FleetInstance[], fencing: number): EngineOrder[];
}

/** Largest remainder by share; an engine keeps its role while that role is not over its number. */
export class ProportionalRoles extends RoleAssignment {
    override changes(roles: readonly RoleShare[], members: readonly FleetInstance[], fencing: number): EngineOrder[] {
        const exact = roles.map(({ role, share }) => ({ role, exact: share * members.length }));
        const counts = new Map(exact.map(({ role, exact }) => [role, Math.floor(exact)]));
        const left = members.length - [...counts.values()].reduce((sum, count) => sum + count, 0);
        [...exact]
            .sort((a, b) => b.exact % 1 - a.exact % 1 || (a.role < b.role ? -1 : 1))
            .slice(0, left)
            .forEach(({ role }) => counts.set(role, (counts.get(role) ?? 0) + 1));
        const changing: FleetInstance[] = [];
        for (const member of [...members].sort((a, b) => a.id < b.id ? -1 : 1)) {
            const open = counts.get(member.role) ?? 0;
            if (open > 0) {
                counts.set(member.role, open - 1);
            }
            else {
                changing.push(member);
            }
        }
        const open = [...counts].flatMap(([role, count]) => new Array<string>(count).fill(role));
        return changing.flatMap((member, i) => {
            const target = open[i];
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
