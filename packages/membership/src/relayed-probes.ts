interface RelayedProbe {
    origin: string;
    originSeq: number;
    /** Instant at which the origin is told that no answer has come. */
    nackAt: number;
}

/** Probes made for other members (ping-req), by the sequence number of the own ping. */
export class RelayedProbes {
    private readonly probes = new Map<number, RelayedProbe>();

    start(seq: number, probe: RelayedProbe): void {
        this.probes.set(seq, probe);
    }

    /** Returns the probe that an ack answers and forgets it. */
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

    nextInstant(): number {
        let earliest = Number.POSITIVE_INFINITY;
        this.probes.forEach(probe => earliest = Math.min(earliest, probe.nackAt));
        return earliest;
    }
}
