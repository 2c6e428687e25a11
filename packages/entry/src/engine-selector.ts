import type { Endpoint } from "@lentilramp/configuration";
import {
    type EndpointTable,
    type EngineRequest,
    predictedFirstTokenDefaults,
    PredictedFirstTokenPolicy,
    type RoutingPolicy,
} from "@lentilramp/routing";
import type { RandomSource } from "@lentilramp/runtime";
import { CallerError } from "./caller-error.ts";
import type { EndpointObserver } from "./endpoint-observer.ts";
import { tokensPerBlock } from "./prompt-blocks.ts";

/** Chooses engines with the routing policy, based on the routing table of the observer. */
export class EngineSelector {
    private readonly policy: RoutingPolicy<EngineRequest>;

    constructor(private readonly observer: EndpointObserver, random: RandomSource) {
        this.policy = new PredictedFirstTokenPolicy(random, {
            ...predictedFirstTokenDefaults,
            blockTokens: tokensPerBlock,
        });
    }

    get table(): EndpointTable {
        return this.observer.table;
    }

    /**
     * Returns the endpoint for a request, or undefined when no endpoint is available. `endpointHint` is the id of an
     * endpoint that may still hold the KV cache of the stream. Throws a CallerError when no endpoint is predicted to
     * answer before the deadline.
     */
    choose(req: EngineRequest, endpointHint: string | undefined, now: number): Endpoint | undefined {
        const hintedEndpoint = this.table.endpoints.find(endpoint => endpoint.id === endpointHint);
        const servesModel = hintedEndpoint?.models.some(loaded => loaded.model === req.model) === true;
        if (hintedEndpoint !== undefined && servesModel && req.excluded?.has(hintedEndpoint.id) !== true) {
            return this.observer.find(hintedEndpoint.id);
        }
        const choice = this.policy.choose(req, this.table, now);
        if (choice.isErr()) {
            if (choice.error.kind === "deadline-unreachable") {
                const lateMs = Math.ceil(choice.error.lateMs);
                throw new CallerError(
                    503,
                    "deadline-unreachable",
                    `the answer would start ${lateMs} ms after the deadline`,
                    "not-run",
                    lateMs,
                );
            }
            return undefined;
        }
        return this.observer.find(choice.value.endpoint.id);
    }
}
