import type { ClaimCoordinator } from "@lentilramp/claims";
import type { Configuration, Operation } from "@lentilramp/configuration";
import { CallerPresence, PollBarrier, readBody, type RouteParams, sendJson } from "@lentilramp/protocol";
import type { Clock, EventLog } from "@lentilramp/runtime";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Admission, Release } from "./admission.ts";
import { type AtMostOnceCaller, toCallStateError, toStoredAnswer } from "./at-most-once-caller.ts";
import { callerClosedError, CallerError, sendCallerError } from "./caller-error.ts";
import type { ConfigurationSubscriber } from "./configuration-subscriber.ts";
import type { IdempotentCaller } from "./idempotent-caller.ts";
import { parseJson, type RequestContext } from "./request-context.ts";
import type { RequestGate } from "./request-gate.ts";
import type { ServiceAnswer, ServiceCall } from "./service-dispatcher.ts";

const defaultTimeoutMs = 10_000;
const queryTimeoutMs = 1_000;
const clockRetryAfterMs = 5_000;

export interface ServiceHandlerDependencies {
    gate: RequestGate;
    admission: Admission;
    idempotent: IdempotentCaller;
    atMostOnce: AtMostOnceCaller;
    coordinator: ClaimCoordinator;
    subscriber: ConfigurationSubscriber;
    clock: Clock;
    log: EventLog;
    bodyLimitBytes: number;
}

function findOperation(configuration: Configuration, params: RouteParams): Operation {
    const service = configuration.services.find(other => other.name === params.service);
    if (service === undefined || service.lifecycle === "draining" || service.lifecycle === "released") {
        throw new CallerError(404, "unknown-service", `service ${params.service} is not served here`, "not-run");
    }
    const operation = service.operations.find(other => other.name === params.operation);
    if (operation === undefined) {
        throw new CallerError(
            404,
            "unknown-operation",
            `service ${service.name} has no operation ${params.operation}`,
            "not-run",
        );
    }
    return operation;
}

function sendAnswer(res: ServerResponse, answer: ServiceAnswer): void {
    res.writeHead(answer.status, {
        "content-type": answer.contentType,
        "content-length": answer.body.length,
        "x-endpoint": answer.endpoint,
    });
    res.end(answer.body);
}

/** Handles service calls and queries for the outcome of a request key. */
export class ServiceHandler {
    private readonly pollBarrier = new PollBarrier();

    constructor(private readonly deps: ServiceHandlerDependencies) {}

    async handle(req: IncomingMessage, res: ServerResponse, params: RouteParams): Promise<void> {
        const { gate, admission, log } = this.deps;
        const key = req.headers["idempotency-key"];
        let release: Release | undefined;
        try {
            const { configuration, context } = gate.check(req, defaultTimeoutMs);
            const operation = findOperation(configuration, params);
            const body = await readBody(req, this.deps.bodyLimitBytes);
            parseJson(body);
            this.checkKey(operation, context);
            release = await admission.admit(context, {
                kind: "service",
                name: `${params.service}/${operation.name}`,
                tokens: 1,
            });
            if (await new CallerPresence(req, res, this.pollBarrier).hasLeft()) {
                release(true);
                // Its key is not claimed, so that a later call with it may still run.
                sendCallerError(res, callerClosedError(key === undefined ? "not-run" : "undecided"));
                return;
            }
            gate.countRequest(true);
            const call = { service: params.service ?? "", operation: operation.name, body, context };
            const startedAt = this.deps.clock.now();
            sendAnswer(res, await this.execute(configuration, operation, call));
            release(true, this.deps.clock.now() - startedAt);
        }
        catch (err) {
            if (!(err instanceof CallerError)) {
                release?.(false);
                throw err;
            }
            // A refusal before the claim leaves the key open, so a later call with it may still run.
            const refusedBeforeClaim = release === undefined && key !== undefined && err.run === "not-run";
            release?.(false);
            gate.countRequest(false);
            log.info("request.failed", { kind: "service", type: err.type, run: err.run, message: err.message });
            req.resume();
            sendCallerError(res, refusedBeforeClaim ? err.withRun("undecided") : err);
        }
    }

    /**
     * Handles `GET /v1/requests/:key` and, with `seal`, `POST /v1/requests/:key/seal`. A seal marks an unclaimed key as
     * not run, so that no call with it runs later.
     */
    async handleOutcomeQuery(res: ServerResponse, params: RouteParams, seal: boolean): Promise<void> {
        const { coordinator, clock } = this.deps;
        const deadline = clock.now() + queryTimeoutMs;
        const key = params.key ?? "";
        const state = seal ? await coordinator.seal(key, deadline) : await coordinator.query(key, deadline);
        try {
            if (state.kind !== "completed") {
                throw toCallStateError(state);
            }
            sendAnswer(res, toStoredAnswer(state.outcome));
        }
        catch (err) {
            if (!(err instanceof CallerError)) {
                throw err;
            }
            sendJson(res, 200, { state: err.run, ...err.body });
        }
    }

    private checkKey(operation: Operation, context: RequestContext): void {
        if (operation.idempotent) {
            return;
        }
        if (context.key === undefined) {
            throw new CallerError(
                400,
                "key-required",
                `operation ${operation.name} is non-idempotent and needs idempotency-key, a UUIDv7`,
                "not-run",
            );
        }
        if (!this.deps.subscriber.isClockWithinTolerance) {
            throw new CallerError(
                503,
                "no-permit",
                "the clock of this entry is wrong; use another address",
                "undecided",
                clockRetryAfterMs,
            );
        }
    }

    private async execute(
        configuration: Configuration,
        operation: Operation,
        call: ServiceCall,
    ): Promise<ServiceAnswer> {
        const { context } = call;
        if (!operation.idempotent && context.key !== undefined) {
            return await this.deps.atMostOnce.call(configuration, call, context.key);
        }
        const route = configuration.routes.find(other =>
            other.target.kind === "service" && other.target.service === call.service
            && other.target.operation === operation.name
        );
        return await this.deps.idempotent.call(configuration, route, call);
    }
}
