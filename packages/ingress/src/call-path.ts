import type { AdmittedRequest } from "./admission.ts";
import type { AnswerWriter } from "./answer-writer.ts";
import type { AttemptFailures } from "./attempt-failures.ts";
import type { BodyRelay } from "./body-relay.ts";
import type { EndpointSelection } from "./endpoint-selection.ts";
import type { Peer } from "./peer-selection.ts";
import type { RelayContext } from "./relay-context.ts";

/** Interval at which a begun stream looks for an endpoint that can resume it, in milliseconds. */
const resumeCheckIntervalMs = 50;

/** Decides which way a request takes that no endpoint can be asked for now: to a peer, or to a later attempt. */
export class CallPath {
    constructor(
        private readonly admitted: AdmittedRequest,
        private readonly ctx: RelayContext,
        private readonly parts: {
            readonly selection: EndpointSelection;
            readonly failures: AttemptFailures;
            readonly bodies: BodyRelay;
            readonly writer: AnswerWriter;
        },
    ) {}

    /**
     * Returns the peers to which the request may be forwarded. It may be if no connection to an endpoint could be opened
     * and none has run it.
     */
    peers(): readonly Peer[] {
        const { failures, bodies } = this.parts;
        const isUnreached = failures.hasUnreached && failures.runs === 0 && bodies.parked.isEmpty;
        return isUnreached ? this.ctx.peersFor(this.admitted.req) : [];
    }

    /**
     * Waits before another attempt to resume a stream that this ingress has left at an endpoint that was only silent.
     * Resolves with false if there is no such stream.
     */
    async waitToResume(): Promise<boolean> {
        const { selection, failures, bodies, writer } = this.parts;
        if (!writer.started || !failures.hasLeftStream || !bodies.parked.isEmpty || !selection.hasReadyVersion) {
            return false;
        }
        await this.ctx.clock.sleepUntil(this.ctx.clock.now() + resumeCheckIntervalMs);
        return true;
    }
}
