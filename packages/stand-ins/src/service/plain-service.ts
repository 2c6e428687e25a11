import murmurhash from "murmurhash";
import { z } from "zod";
import { LoadReporter } from "../engine/load-reporter.ts";
import type { Exchange } from "../http/exchange.ts";
import { HttpError } from "../http/http-error.ts";
import type { StandInDependencies } from "../http/http-stand-in.ts";
import { HttpStandIn } from "../http/http-stand-in.ts";
import type { ServiceFault } from "./service-options.ts";
import { serviceFault, serviceOptions } from "./service-options.ts";

/** Service that executes every call it gets and counts the executions for each request key. */
export class PlainService extends HttpStandIn {
    private readonly options: z.infer<typeof serviceOptions>;
    private readonly counts = new Map<string, number>();
    private readonly load: LoadReporter;
    private faults: ServiceFault[] = [];
    private total = 0;
    private busy = 0;
    private readonly waiting: (() => void)[] = [];

    constructor(input: z.input<typeof serviceOptions> = {}, dependencies?: Partial<StandInDependencies>) {
        const options = serviceOptions.parse(input);
        super(options, dependencies);
        this.options = options;
        this.load = new LoadReporter(options.loadReportIntervalMs, options.loadReportLagMs);
    }

    /** Number of executions of calls with this request key. */
    executions(key: string): number {
        return this.counts.get(key) ?? 0;
    }

    /** Number of executions of all calls. */
    get totalExecutions(): number {
        return this.total;
    }

    protected override async handle(exchange: Exchange): Promise<void> {
        const [first, second] = exchange.path;
        if (exchange.method === "POST" && first === "operations" && second !== undefined) {
            return await this.call(exchange, second);
        }
        if (exchange.method === "GET" && first === "admin" && second === "executions") {
            return exchange.reply(200, { total: this.total, keys: Object.fromEntries(this.counts) });
        }
        if (exchange.method === "GET" && first === "v1" && second === "load") {
            this.sampleLoad();
            return exchange.reply(200, this.load.read(this.clock.now()));
        }
        throw new HttpError(404, "not-found", `no route ${exchange.method} /${exchange.path.join("/")}`);
    }

    protected override applyFault(input: unknown): boolean {
        const parsed = serviceFault.safeParse(input);
        if (!parsed.success) {
            return false;
        }
        if (parsed.data.kind === "clear") {
            this.faults = [];
        }
        else {
            this.faults.push(parsed.data);
        }
        return true;
    }

    private async call(exchange: Exchange, operation: string): Promise<void> {
        const body = await exchange.json(z.unknown());
        const fault = this.takeFault(operation);
        if (fault === "error-before-execution") {
            throw new HttpError(503, "unavailable", "the call was not executed");
        }
        if (fault === "hang-before-execution") {
            return;
        }
        await this.acquireWorker();
        let execution: number;
        try {
            const latencyMs = this.options.operations[operation]?.latencyMs ?? this.options.latencyMs;
            await this.sleepUntil(this.clock.now() + latencyMs);
            await this.thawed();
            execution = this.count(exchange.header("idempotency-key"));
        }
        finally {
            this.releaseWorker();
        }
        if (fault === "cut-after-execution") {
            exchange.cut();
        }
        else if (fault !== "hang-after-execution") {
            const digest = murmurhash.v3(JSON.stringify(body)).toString(16);
            exchange.reply(200, { operation, execution, bodyDigest: digest });
        }
    }

    /** Counts an execution and returns its number among all executions, so that no two answers are equal. */
    private count(key: string | undefined): number {
        if (key !== undefined) {
            this.counts.set(key, this.executions(key) + 1);
        }
        return ++this.total;
    }

    private takeFault(operation: string): ServiceFault["kind"] | undefined {
        const fault = this.faults.find(other => other.operation === undefined || other.operation === operation);
        if (fault?.count !== undefined && --fault.count === 0) {
            this.faults = this.faults.filter(other => other !== fault);
        }
        return fault?.kind;
    }

    private async acquireWorker(): Promise<void> {
        if (this.busy >= this.options.workers) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
        else {
            this.busy++;
        }
        this.sampleLoad();
    }

    /** Hands the worker to the next waiting call. */
    private releaseWorker(): void {
        const next = this.waiting.shift();
        if (next === undefined) {
            this.busy--;
        }
        else {
            next();
        }
        this.sampleLoad();
    }

    private sampleLoad(): void {
        this.load.sample({
            at: this.clock.now(),
            running: this.busy,
            queued: this.waiting.length,
            queuedPrefillTokens: 0,
        });
    }
}
