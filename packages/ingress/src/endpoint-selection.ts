import {
    allowedOf,
    bestChoice,
    type DispatchDecision,
    type EndpointChoice,
    type LatencyModel,
    type QueueOutcome,
} from "@lentilramp/dispatch";
import { type Endpoint, versionOf } from "@lentilramp/fleet";
import type { AdmittedRequest } from "./admission.ts";
import { decideOnSuspects } from "./crash-gate.ts";
import type { RelayContext } from "./relay-context.ts";
import { decideDuringStop } from "./stop-admission.ts";
import { decideByVersion } from "./version-preference.ts";
import type { RequestVersions } from "./version-split.ts";

/** Retry delay that a caller gets when an endpoint refused its request, in milliseconds. */
export const endpointRefusedRetryMs = 100;

/**
 * Retry delay of a caller that takes up a stream whose version has no ready endpoint, in milliseconds; one that has
 * started may not be listed yet.
 */
const versionGoneRetryMs = 500;

export interface SelectionHooks {
    /** Called once with the best endpoint of the first decision on the request, whatever that decision is. */
    onFirstDecision: (best: EndpointChoice<Endpoint> | undefined) => void;
    /** Called in the turn of the event loop in which an endpoint is chosen, so that its load counts at once. */
    onChoice: (choice: EndpointChoice<Endpoint>) => void;
}

/** Chooses the endpoints of one request's attempts, and leaves out those that have failed it. */
export class EndpointSelection {
    private readonly excluded = new Set<string>();
    /** Endpoints that were left because they were silent; sound ones may go on. */
    private readonly silent = new Set<string>();
    private withdraw: () => void = () => undefined;
    private queuedAt: number | undefined;
    /** The software version at which a stream goes on; undefined while any may be chosen. */
    private required: string | undefined;
    private decided = false;
    /** Undefined if the deployment does not roll versions out. */
    private readonly versions: RequestVersions | undefined;

    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly hooks: SelectionHooks,
        /** Returns the endpoints at which attempts are parked; these are not asked a second time. */
        private readonly parkedEndpoints: () => readonly string[],
    ) {
        this.required = admitted.origin?.version;
        this.versions = ctx.versionSplit?.forRequest(admitted.dispatch.service);
    }

    /** Whether the request has waited in the queue of its service. */
    hasWaited(now: number): boolean {
        return this.queuedAt !== undefined && now > this.queuedAt;
    }

    /** Leaves an endpoint out of later choices; one that was only silent as long as another one can take the request. */
    exclude(endpoint: string, wasSilent = false): void {
        (wasSilent ? this.silent : this.excluded).add(endpoint);
    }

    /** Chooses endpoints of one software version only from now on: what two versions write does not fit together. */
    requireVersion(version: string): void {
        this.required ??= version;
    }

    readonly isOfVersion = (endpoint: Endpoint): boolean =>
        this.required === undefined || this.required === versionOf(endpoint);

    /** Whether an attempt may be made at an endpoint, with regard to its version alone. */
    private readonly mayUse = (endpoint: Endpoint): boolean =>
        this.isOfVersion(endpoint) && this.versions?.mayUse(endpoint, this.required) !== false;

    /** Whether an endpoint of the required version is ready. */
    get hasReadyVersion(): boolean {
        return this.ctx.hasReady(this.admitted.dispatch.service, this.mayUse);
    }

    /** Withdraws the request from the queue. */
    leave(): void {
        this.withdraw();
    }

    /** Whether an endpoint other than `current` has a free slot for the request now. */
    hasAlternativeTo(current: Endpoint): boolean {
        const choice = this.choose(new Set([...this.excluded, ...this.silent, current.id]));
        return choice !== undefined && choice.running < choice.endpoint.slots;
    }

    /** Whether an endpoint that was left because it was silent, and serves no attempt any more, may be asked again. */
    get canAskAgain(): boolean {
        return this.choose(this.excluded, this.silent) !== undefined;
    }

    /** Waits in the queue of the service for an endpoint for the first attempt. */
    selectFirst(): Promise<QueueOutcome<Endpoint>> {
        const { admitted: { dispatch }, ctx, hooks } = this;
        const model = ctx.latencyModel(dispatch.service);
        ctx.view.limits.recordRequest(dispatch.service);
        this.versions?.recordAsked();
        this.queuedAt = ctx.clock.now();
        return new Promise(resolve => {
            this.withdraw = ctx.queue(dispatch.service).submit(
                dispatch,
                ahead => this.decide(model, ahead),
                outcome => {
                    if (outcome.kind === "send") {
                        this.versions?.recordSend(outcome.choice.endpoint);
                        hooks.onChoice(outcome.choice);
                    }
                    resolve(outcome);
                },
            );
        });
    }

    private decide(model: LatencyModel, ahead: number): DispatchDecision<Endpoint> {
        const { admitted: { dispatch, suspects }, ctx, excluded, hooks } = this;
        const now = ctx.clock.now();
        const refusal = decideOnSuspects(suspects, ctx.view, now);
        if (refusal !== undefined) {
            return { kind: "refuse", reason: refusal.reason, retryAfterMs: refusal.retryAfterMs };
        }
        if (this.required !== undefined && !this.hasReadyVersion) {
            return { kind: "refuse", reason: "no-endpoint-of-version", retryAfterMs: versionGoneRetryMs };
        }
        const decision = decideByVersion(
            ctx.candidatePool(dispatch.service, this.mayUse),
            this.versions,
            ctx.view.loads,
            now,
            among => ctx.dispatcher.decide(dispatch, among, model, now, excluded, ahead),
        );
        if (!this.decided) {
            this.decided = true;
            hooks.onFirstDecision(bestChoice(decision));
        }
        const limited = decision.kind === "refuse" && decision.reason === "no-endpoint"
            ? ctx.limitGate.decide(dispatch, excluded, this.mayUse)
            : undefined;
        return decideDuringStop(limited ?? decision, this.admitted, ctx);
    }

    /**
     * Chooses an endpoint for a later attempt, without waiting for a slot, as the caller has already waited. `mayHaveRun`
     * says whether an endpoint may have run the request, so that it cannot be refused any more; `mayAskOther` whether an
     * endpoint may be asked that has not been asked yet.
     */
    selectAnother({ mayHaveRun, mayAskOther }: { mayHaveRun: boolean; mayAskOther: boolean; }): QueueOutcome<Endpoint> {
        // A silent endpoint is better than none: the request may have been rejected everywhere else.
        const choice = mayAskOther
            ? this.choose(new Set([...this.excluded, ...this.silent])) ?? this.choose(this.excluded)
            : this.choose(this.excluded, this.silent);
        if (choice !== undefined) {
            const send = { kind: "send", choice } as const;
            const decision = mayHaveRun ? send : decideDuringStop(send, this.admitted, this.ctx);
            if (decision.kind === "send") {
                this.versions?.recordSend(choice.endpoint);
                this.hooks.onChoice(choice);
            }
            return decision;
        }
        const limited = this.ctx.limitGate.decide(this.admitted.dispatch, this.excluded, this.mayUse);
        return limited?.kind === "refuse"
            ? limited
            : { kind: "refuse", reason: "no-endpoint", retryAfterMs: endpointRefusedRetryMs };
    }

    private choose(excluded: ReadonlySet<string>, among?: ReadonlySet<string>): EndpointChoice<Endpoint> | undefined {
        const { admitted: { dispatch }, ctx } = this;
        const model = ctx.latencyModel(dispatch.service);
        const pool = ctx.candidatePool(dispatch.service, this.mayUse);
        // Only a request that has no other endpoint left asks those again that were silent.
        const candidates = among === undefined
            ? pool
            : pool.among(allowedOf(pool).filter(({ id }) => among.has(id)));
        const excludedOrParked = new Set([...excluded, ...this.parkedEndpoints()]);
        return ctx.dispatcher.choose(dispatch, candidates, model, ctx.clock.now(), excludedOrParked);
    }
}
