import type { Catalog } from "@lentilramp/catalog";
import type { RpcServer } from "@lentilramp/protocol";
import {
    type OrderCommand,
    type OrderOutcome,
    repeatsOrder,
    type RolloutOptions,
    type RolloutOrder,
    rolloutOrderSchema,
    type RolloutStatus,
    rolloutStatus,
    rolloutStatusSchema,
} from "@lentilramp/rollouts";
import { z } from "zod";
import type { FleetCoordinator } from "./fleet-coordinator.ts";
import { errorMessage, type StewardCore } from "./steward-core.ts";

/** Age of the list of endpoints, in milliseconds, from which the recorded versions are newer or as good. */
const listFreshMs = 5_000;

/** Answer to the RPC method `rollouts.read`. */
export const rolloutReadAnswerSchema = z.object({
    confirmed: z.boolean(),
    status: rolloutStatusSchema.optional(),
});

/** Takes orders for roll-outs at the leader, and reads their state. */
export class RolloutOrders {
    constructor(
        private readonly core: StewardCore,
        private readonly coordinator: FleetCoordinator,
        private readonly catalog: () => Catalog | undefined,
        private readonly options: RolloutOptions,
    ) {}

    /** Stores an order; resolves with `accepted` once it is committed. */
    async submit({ service, target, durationMs }: RolloutOrder): Promise<OrderOutcome> {
        const { core, coordinator } = this;
        try {
            // A new leader may not have applied the newest catalog yet.
            await core.driver.confirmRead();
            const orderedAt = coordinator.medianClock.timeOfDayMs(core.clock.now()) ?? Date.now();
            const repeatsSince = orderedAt - this.options.ackTimeoutMs;
            const isRepeated = repeatsOrder(core.state.rollouts, { service, target, repeatsSince });
            // An order that was accepted is not refused because the configuration has changed since.
            if (!isRepeated && this.catalog()?.services.has(service) !== true) {
                return { kind: "invalid", reason: `the configuration in force has no service "${service}"` };
            }
            const { order } = await core.propose({
                type: "rollout-order",
                service,
                target,
                orderedAt,
                deadline: orderedAt + durationMs,
                ...this.listedVersions(service),
                repeatsSince,
            });
            if (order?.kind === "accepted" && !order.repeated) {
                core.log.info("rollout.ordered", { service, target, durationMs });
            }
            return order ?? { kind: "unavailable", reason: "the order was not applied" };
        }
        catch (err) {
            return { kind: "unavailable", reason: errorMessage(err) };
        }
    }

    /**
     * Returns the versions of a service's endpoints. A leader that has led before may have read the list of endpoints
     * last at that time, and other leaders have recorded versions since. Without a recent list these may be outdated or
     * missing. The order does not wait for a read, which takes as long as the platform does not answer.
     */
    private listedVersions(service: string): Pick<OrderCommand, "listed" | "awaitsList"> {
        const { core, coordinator } = this;
        const read = coordinator.listAgeMs < listFreshMs ? coordinator.versions : undefined;
        const services = (read ?? core.state.versions)?.services ?? {};
        return {
            listed: Object.hasOwn(services, service) ? [...services[service]?.listed ?? []] : [],
            ...read === undefined ? { awaitsList: true } : {},
        };
    }

    /** Returns the state of the last roll-out of a service, confirmed by a majority. Rejects with a ControlError. */
    async read(service: string): Promise<RolloutStatus | undefined> {
        await this.core.driver.confirmRead();
        return rolloutStatus(this.core.state.rollouts, service);
    }
}

/** Registers the RPC methods with which other stewards forward orders and reads. */
export function attachRolloutMethods(server: RpcServer, orders: RolloutOrders): void {
    server.method("rollouts.order", rolloutOrderSchema, order => orders.submit(order));
    server.method(
        "rollouts.read",
        z.object({ service: z.string() }),
        async ({ service }): Promise<z.infer<typeof rolloutReadAnswerSchema>> => {
            try {
                return { confirmed: true, status: await orders.read(service) };
            }
            catch {
                return { confirmed: false };
            }
        },
    );
}
