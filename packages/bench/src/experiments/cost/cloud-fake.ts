import type { FleetInstance, InstancePrice, StartOrder } from "@lentilramp/placement";
import type { RandomSource } from "@lentilramp/runtime";
import type { CostSettings } from "./cost-settings.ts";

const hourMs = 3_600_000;
const machineClasses = ["gpu-m", "gpu-l"] as const;

interface Held {
    instance: FleetInstance;
    readyAt: number;
    loadedAt: number | undefined;
}

/** Fake of the cloud, the weight store and the engines, at the interface of the planner. */
export class CloudFake {
    readonly held = new Map<string, Held>();
    cost = 0;
    /** Requests that were in progress on reclaimed instances. */
    movedRequests = 0;
    reclaimed = 0;
    refused = 0;
    private readonly refusedUntil = new Map<string, number>();
    private readonly operations = new Map<string, string>();
    private priceFactors = new Map<string, number>();
    private weightStoreFreeAt = 0;
    private nextId = 1;

    constructor(private readonly settings: CostSettings, private readonly random: RandomSource) {}

    get domains(): string[] {
        return Array.from(Array(this.settings.failureDomains).keys(), i => `domain-${i + 1}`);
    }

    prices(now: number): InstancePrice[] {
        const hour = Math.floor(now / hourMs);
        return this.domains.flatMap(failureDomain =>
            machineClasses.flatMap(machineClass =>
                (["reclaimable", "on-demand"] as const).map(market => ({
                    failureDomain,
                    machineClass,
                    market,
                    pricePerHour: this.settings.onDemandPrice[machineClass]
                        * (market === "on-demand"
                            ? 1
                            : this.settings.reclaimablePriceShare
                                * this.factor(`${failureDomain}/${machineClass}/${hour}`)),
                }))
            )
        );
    }

    /**
     * Starts an instance unless the start is refused; a repeated operation has no second effect. `spent` says that the
     * instance of the operation is gone already.
     */
    start(order: StartOrder, now: number): "started" | "refused" | "repeated" | "spent" {
        const earlier = this.operations.get(order.operationId);
        if (earlier !== undefined) {
            return this.held.has(earlier) ? "repeated" : "spent";
        }
        const inWave = now < (this.refusedUntil.get(order.failureDomain) ?? 0);
        if (order.market === "reclaimable" && inWave && this.random.next() < this.settings.refusedShareAfterWave) {
            this.refused++;
            return "refused";
        }
        const { startMinMs, startMaxMs } = this.settings;
        const id = `i${this.nextId++}`;
        this.operations.set(order.operationId, id);
        this.held.set(id, {
            readyAt: now + startMinMs + this.random.next() * (startMaxMs - startMinMs),
            loadedAt: undefined,
            instance: {
                id,
                failureDomain: order.failureDomain,
                machineClass: order.machineClass,
                market: order.market,
                state: "starting",
                draining: false,
                inFlight: 0,
                engineReported: false,
                models: [],
                adapters: [],
                version: "",
                role: "",
            },
        });
        return "started";
    }

    /** Loads a model; transfers of the weight store follow each other. */
    load(id: string, now: number): void {
        const held = this.held.get(id);
        if (held !== undefined && held.loadedAt === undefined) {
            const transferMs = this.settings.modelBytes / this.settings.weightStoreBytesPerSecond * 1_000;
            this.weightStoreFreeAt = Math.max(now, this.weightStoreFreeAt) + transferMs;
            held.loadedAt = this.weightStoreFreeAt;
        }
    }

    drain(id: string): void {
        const held = this.held.get(id);
        if (held !== undefined) {
            held.instance = { ...held.instance, draining: true };
        }
    }

    stop(id: string): void {
        this.held.delete(id);
    }

    /** Advances to `now`: prices the held instances, makes them ready, reclaims. Returns the ids given notice. */
    advance(now: number, utilisation: number, slotsOf: (machineClass: string) => number): string[] {
        const { stepMs } = this.settings;
        const priceOf = new Map(
            this.prices(now).map(
                price => [`${price.failureDomain}/${price.machineClass}/${price.market}`, price.pricePerHour],
            ),
        );
        for (const held of this.held.values()) {
            const { failureDomain, machineClass, market } = held.instance;
            this.cost += (priceOf.get(`${failureDomain}/${machineClass}/${market}`) ?? 0) * stepMs / hourMs;
            const live = now >= held.readyAt;
            const loaded = held.loadedAt !== undefined && now >= held.loadedAt;
            held.instance = {
                ...held.instance,
                state: live ? "live" : "starting",
                engineReported: live,
                models: loaded ? ["model"] : [],
                ...(live ? { lastSeenAt: now } : {}),
                inFlight: loaded ? Math.floor(utilisation * slotsOf(machineClass)) : 0,
            };
        }
        return this.reclaim(now);
    }

    /** Removes an instance at the end of its notice. */
    lose(id: string): void {
        this.movedRequests += this.held.get(id)?.instance.inFlight ?? 0;
        this.reclaimed++;
        this.held.delete(id);
    }

    servingSlots(slotsOf: (machineClass: string) => number): number {
        let slots = 0;
        for (const { instance } of this.held.values()) {
            slots += instance.models.length > 0 && !instance.draining ? slotsOf(instance.machineClass) : 0;
        }
        return slots;
    }

    private reclaim(now: number): string[] {
        const { stepMs, reclaimsPerInstanceHour, wavesPerDomainDay, waveShare, refusedAfterWaveMs } = this.settings;
        const waves = new Set(
            this.domains.filter(() => this.random.next() < wavesPerDomainDay * stepMs / (24 * hourMs)),
        );
        waves.forEach(domain => this.refusedUntil.set(domain, now + refusedAfterWaveMs));
        return [...this.held.values()]
            .filter(({ instance }) => instance.market === "reclaimable")
            .filter(({ instance }) =>
                this.random.next()
                    < (waves.has(instance.failureDomain) ? waveShare : reclaimsPerInstanceHour * stepMs / hourMs)
            )
            .map(({ instance }) => instance.id);
    }

    private factor(key: string): number {
        let factor = this.priceFactors.get(key);
        if (factor === undefined) {
            if (this.priceFactors.size > 1_000) {
                this.priceFactors = new Map();
            }
            factor = 1 + this.settings.priceSwing * (2 * this.random.next() - 1);
            this.priceFactors.set(key, factor);
        }
        return factor;
    }
}
