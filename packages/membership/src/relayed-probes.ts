interface RelayedProbe {
    origin: string;
    originSeq: number;
    /** Time at which a nack is sent to the origin, unless the target has answered. */
    nackAt: number;
}

/** Probes for other members (ping-req), by the sequence number of the ping that this node has sent to the target. */
export class RelayedProbes {
    private readonly probes = new Map<number, RelayedProbe>();

    start(seq: number, probe: RelayedProbe): void {
        this.probes.set(seq, probe);
    }

    /** Removes and returns the probe that an ack with `seq` answers. */
    takeAnswered(seq: number): RelayedProbe | undefined {
        const probe = this.probes.get(seq);
        this.probes.delete(seq);
        return probe;
    }

    /** Removes and returns the probes that were not answered in time. */
    takeUnanswered(now: number): RelayedProbe[] {
        const unanswered = [...this.probes].filter(([, probe]) => probe.nackAt <= now);
        unanswered.forEach(([seq]) => this.probes.delete(seq));
        return unanswered.map(([, probe]) => probe);
    }

    nextDueAt(): number {
        let earliestNackAt = Number.POSITIVE_INFINITY;
        this.probes.forEach(probe => earliestNackAt = Math.min(earliestNackAt, probe.nackAt));
        return earliestNackAt;
    }
}
