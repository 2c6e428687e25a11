import type { Endpoint, PromptCrashes, RequestSuspects } from "@lentilramp/fleet";
import type { Clock, EventLog } from "@lentilramp/runtime";
import { connect } from "node:net";

/** Time within which a live endpoint accepts a connection, in milliseconds. */
const probeTimeoutMs = 300;
/** Time after which a second loss at the same endpoint is probed again, in milliseconds. */
const probeReuseMs = 1_000;

/** Resolves with whether an endpoint refuses connections or does not answer, as a crashed one does. */
async function isDown({ host, port }: Endpoint, clock: Clock): Promise<boolean> {
    return await new Promise(resolve => {
        const socket = connect({ host, port });
        const finish = (down: boolean): void => {
            timer.cancel();
            socket.destroy();
            resolve(down);
        };
        // Timers run before sockets are read: after a pause of this process, the connection may be open already.
        const timer = clock.schedule(clock.now() + probeTimeoutMs, () => setImmediate(finish, true));
        socket.once("connect", () => finish(false));
        socket.once("error", () => finish(true));
    });
}

interface Probe {
    startedAt: number;
    down: Promise<boolean>;
    /** Whether the endpoint has accepted the connection. */
    hasReached: boolean;
}

/**
 * Tells crashes of endpoints from lost answers: after an attempt has ended before its answer had begun, it checks once
 * whether the endpoint still accepts connections.
 */
export class CrashDetector {
    private readonly probes = new Map<string, Probe>();

    constructor(
        private readonly crashes: PromptCrashes,
        /** Whether an endpoint is expected to end, so that its end accuses nobody. */
        private readonly isLeaving: (endpoint: string) => boolean,
        private readonly onCrash: () => void,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    /** Handles an attempt at the request `id` that the endpoint ended before its answer had begun. */
    recordLoss(endpoint: Endpoint, suspects: RequestSuspects, id: string): void {
        if (this.isLeaving(endpoint.id)) {
            return;
        }
        const lostAt = this.clock.now();
        if (this.recentProbe(endpoint, lostAt)?.hasReached === true) {
            return;
        }
        // The request is repeated before the probe ends, so that the loss has to count before.
        const endLoss = this.crashes.recordLoss(endpoint, suspects.request, lostAt);
        void this.probe(endpoint, lostAt).then(down => {
            if (down && !this.isLeaving(endpoint.id)) {
                this.crashes.recordCrash(endpoint, suspects, lostAt);
                this.log.info("endpoint.crashed", {
                    endpoint: endpoint.id,
                    service: endpoint.service,
                    id,
                    request: suspects.request,
                    parts: suspects.parts.join(",") || undefined,
                });
                this.onCrash();
            }
        }).catch((err: unknown) =>
            this.log.error("endpoint.probe-failed", { endpoint: endpoint.id, error: String(err) })
        ).finally(endLoss);
    }

    private recentProbe({ id }: Endpoint, now: number): Probe | undefined {
        const probe = this.probes.get(id);
        return probe !== undefined && now - probe.startedAt < probeReuseMs ? probe : undefined;
    }

    private probe(endpoint: Endpoint, now: number): Promise<boolean> {
        const recent = this.recentProbe(endpoint, now);
        if (recent !== undefined) {
            return recent.down;
        }
        for (const [id, { startedAt }] of this.probes) {
            if (now - startedAt >= probeReuseMs) {
                this.probes.delete(id);
            }
        }
        const down = isDown(endpoint, this.clock);
        const probe = { startedAt: now, down, hasReached: false };
        this.probes.set(endpoint.id, probe);
        void down.then(isDownNow => probe.hasReached = !isDownNow, () => undefined);
        return down;
    }
}
