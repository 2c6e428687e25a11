import { z } from "zod";
import { HttpError } from "../http/http-error.ts";

/** An order to an engine; `expiresAt` is an instant on the clock of the engine (see `GET /v1/orders`). */
export const engineOrder = z.object({
    kind: z.enum(["load-model", "load-adapter", "load-version", "set-role"]),
    target: z.string().min(1),
    fencingNumber: z.number().int().min(0),
    expiresAt: z.number(),
});

export type EngineOrder = z.infer<typeof engineOrder>;

/** Accepted orders and the highest fencing number seen. */
export class OrderBook {
    highestFencingNumber = 0;
    role = "any";
    version = "";
    readonly adapters = new Set<string>();
    readonly models: Set<string>;
    readonly accepted: EngineOrder[] = [];
    /** Accepted orders that could not be carried out, for example because the weight store refused the transfer. */
    readonly failed: EngineOrder[] = [];

    constructor(models: readonly string[], private readonly checkFencing: boolean) {
        this.models = new Set(models);
    }

    /** Accepts an order, or throws `order-expired` (410) or `stale-fencing-number` (409). */
    accept(order: EngineOrder, now: number): void {
        if (order.expiresAt <= now) {
            throw new HttpError(410, "order-expired", `the order expired at ${order.expiresAt}, now is ${now}`);
        }
        if (this.checkFencing && order.fencingNumber < this.highestFencingNumber) {
            throw new HttpError(
                409,
                "stale-fencing-number",
                `fencing number ${order.fencingNumber} is below ${this.highestFencingNumber}`,
                { highestFencingNumber: this.highestFencingNumber },
            );
        }
        this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
        this.accepted.push(order);
    }

    complete(order: EngineOrder): void {
        switch (order.kind) {
            case "load-model":
                this.models.add(order.target);
                break;
            case "load-adapter":
                this.adapters.add(order.target);
                break;
            case "load-version":
                this.version = order.target;
                break;
            case "set-role":
                this.role = order.target;
                break;
        }
    }

    state(now: number): Record<string, unknown> {
        return {
            now,
            role: this.role,
            version: this.version,
            models: [...this.models],
            adapters: [...this.adapters],
            highestFencingNumber: this.highestFencingNumber,
            checksFencing: this.checkFencing,
            accepted: this.accepted,
            failed: this.failed,
        };
    }
}
