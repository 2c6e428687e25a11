import { plannerPolicySchema } from "@lentilramp/fleet";
import { ingressPolicySchema } from "@lentilramp/ingress";
import { readDocument, type SettingsError } from "@lentilramp/settings";
import type { Result } from "ts-results-es";
import { z } from "zod";

/** Which mechanisms of a fleet decide. Whatever is left out is on. */
export const fleetPolicySchema = z.strictObject({
    policy: z.strictObject({
        ingress: ingressPolicySchema.prefault({}).describe("mechanisms of an ingress"),
        planner: plannerPolicySchema.prefault({}).describe("mechanisms that decide the numbers of replicas"),
    }),
});
export type FleetPolicy = z.infer<typeof fleetPolicySchema>["policy"];

export const fleetPolicyDefaults: FleetPolicy = fleetPolicySchema.parse({ policy: {} }, { jitless: true }).policy;

export function readFleetPolicy(file: string): Result<FleetPolicy, SettingsError> {
    return readDocument(file, fleetPolicySchema).map(({ policy }) => policy);
}
