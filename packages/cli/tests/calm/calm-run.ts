import { SeededRandom } from "@lentilramp/runtime";
import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { FleetProcesses, PlatformStandIn, ports } from "../fleet-harness.ts";
import { brokenPromises } from "../soak/promises.ts";
import { CallerConnection, type ExchangeSeen } from "./calm-caller.ts";
import { CalmCatalog } from "./calm-catalog.ts";
import { kept } from "./calm-endpoint.ts";
import { brokenConfiguration } from "./configuration.ts";
import { EndpointList } from "./endpoint-list.ts";
import {
    bounds,
    brokenRule,
    type CalmCall,
    clockSlackMs,
    describeLoss,
    describeRequest,
    type Habit,
    isBeside,
    lossesOf,
    type PlannedWork,
} from "./losses.ts";
import { PlannedWorks } from "./planned-works.ts";
import { type Profile, type ProfileName, profiles } from "./profiles.ts";
import { type PlannedRequest, planProbe, planRequest } from "./requests.ts";

/** Time in which each ingress is probed once, in milliseconds. */
const probeGapMs = 400;

export interface CalmOptions {
    seed: number;
    seconds: number;
    stewards: number;
    ingresses: number;
    callers: number;
    /** Habits of callers that are not played. */
    leftOut: readonly Habit[];
    profile: ProfileName;
}

export interface CalmResult {
    calls: number;
    answered: number;
    /** Requests without a complete answer that an exception of the page excuses, and those that none excuses. */
    excused: string[];
    /** Those of the excused that are lost if the other of two versions binds them. */
    disputed: string[];
    lost: string[];
    /** Other rules, and the sentences of the rule LOST as the page words them. */
    broken: string[];
    statuses: Record<string, number>;
    /** Requests that an ingress failed although no time was over; no break of the rule, but no success either. */
    failed: string[];
    works: Record<PlannedWork["kind"], number>;
}

/** One run of real processes in which nothing fails and everything that is planned happens. */
class CalmRun {
    private readonly calls: CalmCall[] = [];
    private readonly broken: string[] = [];
    private readonly catalog: CalmCatalog;
    private readonly profile: Profile;
    private readonly planned: PlannedWorks;
    private nextId = 0;
    private nextConnection = 0;

    constructor(
        private readonly options: CalmOptions,
        private readonly list: EndpointList,
        private readonly platform: PlatformStandIn,
        private readonly fleet: FleetProcesses,
        /** Aborted at the end of the run, from which on nothing new is planned. */
        private readonly end: AbortController,
    ) {
        this.profile = profiles[options.profile];
        this.catalog = new CalmCatalog(this.randomOf(1), this.profile.timeouts);
        this.planned = new PlannedWorks(fleet, this.catalog, this.profile, part => this.randomOf(part), end.signal);
    }

    async run(): Promise<CalmResult> {
        const { callers, seconds } = this.options;
        const { fleet, planned } = this;
        await this.list.start();
        try {
            await fleet.start();
            await planned.begin();
            const work = [
                ...Array.from({ length: callers }, (...[, i]) => this.call(i)),
                this.probe(),
                this.list.leaveInTurn(),
                this.list.fillInTurn(),
                ...planned.start(),
            ];
            await sleep(seconds * 1_000);
            this.end.abort();
            await Promise.all(work);
            await planned.readBack();
        }
        finally {
            this.end.abort();
            await fleet.close();
            this.list.close();
            this.platform.close();
        }
        return this.judge();
    }

    /** Waits, but not beyond the end of the run. */
    private async pause(ms: number): Promise<void> {
        await sleep(ms, undefined, { signal: this.end.signal }).catch(() => undefined);
    }

    private randomOf(part: number): SeededRandom {
        return new SeededRandom(this.options.seed * 100_003 + part);
    }

    private judge(): CalmResult {
        const { works, lives, coreEvents, broken: brokenWorks } = this.planned;
        const losses = lossesOf(this.calls, this.list.arrivals, works);
        const statuses: Record<string, number> = {};
        for (const { status } of this.calls) {
            statuses[String(status)] = (statuses[String(status)] ?? 0) + 1;
        }
        const countOf = (kind: PlannedWork["kind"]): number => works.filter(work => work.kind === kind).length;
        return {
            calls: this.calls.length,
            answered: this.calls.filter(({ ending }) => ending === "answered").length,
            excused: losses.filter(({ excuse }) => excuse !== undefined).map(describeLoss),
            disputed: losses.filter(({ excuse }) => excuse === "route timeout by one of the versions").map(
                describeLoss,
            ),
            lost: losses.filter(({ excuse }) => excuse === undefined).map(describeLoss),
            broken: [
                ...this.broken,
                ...brokenWorks,
                ...brokenConfiguration({
                    calls: this.calls,
                    runs: this.list.runs,
                    versions: this.catalog.versions,
                    lives,
                    coreEvents,
                }),
                ...brokenPromises(this.calls, this.list.runs, ({ workspace, sentBody, wholeAnswer }) => ({
                    workspace,
                    body: sentBody,
                    answer: wholeAnswer,
                })),
                ...brokenRule(losses, this.calls, works),
                ...this.fleet.unexpectedExits.map(({ host, code, signal }) =>
                    `ended by itself: ${host} code=${code} signal=${signal}`
                ),
            ],
            statuses,
            failed: this.calls.filter(({ status, sentAt, endedAt, budgetMs, limits }) =>
                (status === 502 || status === 504) && endedAt - sentAt + clockSlackMs < Math.min(budgetMs, limits.least)
            ).map(call =>
                describeRequest({
                    call,
                    passedOn: this.list.arrivals.filter(({ id }) => id === call.id),
                    near: works.filter(work => isBeside(work, call)),
                    excuse: undefined,
                })
            ),
            works: { stop: countOf("stop"), reload: countOf("reload"), change: countOf("change") },
        };
    }

    /** A caller keeps its connection as long as it may, with idle times up to the longest that it may have. */
    private async call(caller: number): Promise<void> {
        const random = this.randomOf(1_000 + caller);
        const hosts = this.fleet.ingresses;
        /** Ingress that the next connection is opened to. */
        let next = caller % hosts.length;
        let connection: { socket: CallerConnection; ingress: number; } | undefined;
        while (!this.end.signal.aborted) {
            await this.pause(this.idleTime(random, connection?.socket));
            if (this.end.signal.aborted) {
                break;
            }
            if (connection?.socket.mayCarry(this.catalog.newestIdleMs) !== true) {
                connection?.socket.close();
                const socket = await this.open(next, random);
                connection = socket === undefined ? undefined : { socket, ingress: next };
            }
            if (connection === undefined) {
                next = (next + 1) % hosts.length;
                continue;
            }
            const { leftOut } = this.options;
            const plan = planRequest(this.newId(), this.catalog, random, leftOut, this.profile);
            const { status } = await this.request(connection.socket, connection.ingress, plan);
            if (status === undefined || status === 503) {
                next = (next + 1) % hosts.length;
            }
        }
        connection?.socket.close();
    }

    /** Asks each ingress in turn for routes that show which configuration is in force, on connections of their own. */
    private async probe(): Promise<void> {
        const random = this.randomOf(6);
        const hosts = this.fleet.ingresses;
        const open = new Set<Promise<void>>();
        for (let ingress = 0; !this.end.signal.aborted; ingress = (ingress + 1) % hosts.length) {
            await this.pause(probeGapMs / hosts.length);
            const socket = await this.open(ingress, random);
            if (socket !== undefined) {
                const plan = planProbe(this.newId(), this.catalog, random, this.profile);
                const exchange = this.request(socket, ingress, plan).then(() => {
                    socket.close();
                    open.delete(exchange);
                });
                open.add(exchange);
            }
        }
        // The processes are killed once all requests have ended.
        await Promise.all(open);
    }

    private open(ingress: number, random: SeededRandom): Promise<CallerConnection | undefined> {
        const name = `c${this.options.seed}-${this.nextConnection++}`;
        return CallerConnection.open(name, this.fleet.ingresses[ingress] ?? "", ports.front, random)
            .catch(() => undefined);
    }

    private newId(): string {
        return `s${this.options.seed}-${this.nextId++}`;
    }

    private idleTime(random: SeededRandom, connection: CallerConnection | undefined): number {
        const kind = random.next();
        const long = Math.max(0, (connection?.maxIdleMs(this.catalog.newestIdleMs) ?? 0) - 20);
        return kind < 0.7 ? random.next() * 150 : kind < 0.9
            ? random.next() * Math.min(1_500, long)
            : (0.85 + 0.15 * random.next()) * long;
    }

    private async request(
        connection: CallerConnection,
        ingress: number,
        plan: PlannedRequest,
    ): Promise<ExchangeSeen> {
        const { id } = plan;
        const sentAt = Date.now();
        const earlier = connection.requests;
        const idleMs = sentAt - connection.idleSince;
        const seen = await connection.exchange(plan);
        this.calls.push({
            ...seen,
            id,
            kind: plan.kind,
            habit: plan.habit,
            path: plan.path,
            workspace: plan.workspace,
            key: plan.key,
            sentBody: kept(plan.body),
            wholeAnswer: kept(plan.wholeAnswer),
            route: plan.route,
            sentAt,
            ingress,
            complete: seen.ending === "answered",
            connection: connection.name,
            earlier,
            idleMs,
            budgetMs: plan.budgetMs,
            limits: this.catalog.limitsOf(plan.route, sentAt, seen.endedAt, bounds.applyMs),
        });
        if (seen.malformed !== undefined) {
            this.broken.push(`bytes that are no answer: ${id} ${seen.malformed}`);
        }
        if (connection.unasked !== undefined) {
            this.broken.push(`bytes with no request waiting: ${connection.name} ${JSON.stringify(connection.unasked)}`);
            connection.unasked = undefined;
        }
        return seen;
    }
}

/** Runs the processes through the planned work of a seed. */
export async function playCalm(options: CalmOptions): Promise<CalmResult> {
    const end = new AbortController();
    // Each caller waits on the signal.
    setMaxListeners(0, end.signal);
    const list = new EndpointList(options.seed, profiles[options.profile].shares, end.signal);
    const platform = new PlatformStandIn(() => list.entries());
    const fleet = new FleetProcesses(await platform.start(), options.stewards, options.ingresses);
    return await new CalmRun(options, list, platform, fleet, end).run();
}
