import type { Endpoint, EndpointView, EngineRequest, RouteChoice, RouteError } from "@lentilramp/routing";
import { RoutingPolicy, serves } from "@lentilramp/routing";
import type { RandomSource } from "@lentilramp/runtime";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

/** Common part of the policies that serve only as a comparison. */
abstract class BaselinePolicy extends RoutingPolicy<EngineRequest> {
    override choose(req: EngineRequest, view: EndpointView): Result<RouteChoice, RouteError> {
        const eligible = view.endpoints.filter(endpoint => serves(endpoint, req) && !req.excluded?.has(endpoint.id));
        const endpoint = this.pick(eligible, view);
        return endpoint === undefined
            ? Err({ kind: "no-endpoint" })
            : Ok({ endpoint, predictedMs: 0, cachedTokens: 0 });
    }

    protected abstract pick(eligible: readonly Endpoint[], view: EndpointView): Endpoint | undefined;
}

export class RandomPolicy extends BaselinePolicy {
    constructor(private readonly random: RandomSource) {
        super();
    }

    protected override pick(eligible: readonly Endpoint[]): Endpoint | undefined {
        return eligible[this.random.nextInt(eligible.length)];
    }
}

export class RoundRobinPolicy extends BaselinePolicy {
    private next: number;

    constructor(random: RandomSource) {
        super();
        // Entries start at different endpoints; otherwise all would go round in step.
        this.next = random.nextInt(1 << 16);
    }

    protected override pick(eligible: readonly Endpoint[]): Endpoint | undefined {
        return eligible[this.next++ % eligible.length];
    }
}

/** Least requests in flight from this entry; ties are broken at random. */
export class LeastOutstandingPolicy extends BaselinePolicy {
    constructor(private readonly random: RandomSource) {
        super();
    }

    protected override pick(eligible: readonly Endpoint[], view: EndpointView): Endpoint | undefined {
        const least = Math.min(...eligible.map(endpoint => view.inFlight.requestCount(endpoint.id)));
        const tied = eligible.filter(endpoint => view.inFlight.requestCount(endpoint.id) === least);
        return tied[this.random.nextInt(tied.length)];
    }
}
