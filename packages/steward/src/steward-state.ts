import type { Entry, Role } from "@lentilramp/agreement";
import type { StateMachine } from "@lentilramp/control";
import {
    type BlockedPart,
    blockedPartSchema,
    ownRecord,
    type VersionHistory,
    versionHistorySchema,
} from "@lentilramp/fleet";
import {
    applyOrder,
    applyProgress,
    emptyRolloutBook,
    orderCommandSchema,
    type OrderOutcome,
    progressCommandSchema,
    type RolloutBook,
    rolloutBookSchema,
} from "@lentilramp/rollouts";
import { safeParseLate } from "@lentilramp/runtime";
import murmurhash from "murmurhash";
import { z } from "zod";

/** Number of usage reports retained for retries; older ones are long past their due time. */
const retainedReports = 40;

/** Largest number of blocked prompt parts and requests; the oldest verdict ends when there are more. */
export const maxBlockedParts = 256;

const reportSchema = z.object({ window: z.number(), counts: z.record(z.string(), z.number()) });
export type UsageReport = z.infer<typeof reportSchema>;

const commandSchema = z.discriminatedUnion("type", [
    /** An operator's catalog; the highest version takes effect. */
    z.object({ type: z.literal("catalog"), version: z.number(), text: z.string() }),
    /** A new leader assumes the platform duties; the index of the entry is its fencing number. */
    z.object({ type: z.literal("office"), holder: z.string() }),
    /** The usage report of a window; the first one is final, so that retries repeat it exactly. */
    z.object({ type: z.literal("usage"), report: reportSchema }),
    /** The number of ingresses among which the caps are divided. */
    z.object({ type: z.literal("members"), count: z.number() }),
    /** Prompt speed of the engines of a service, for processes that start without measurements. */
    z.object({ type: z.literal("engine-rate"), service: z.string(), tokensPerMs: z.number() }),
    /** A prompt part or a request that crashes endpoints, and is refused. */
    z.object({ type: z.literal("block-part"), verdict: blockedPartSchema }),
    /** The end of a verdict, by an operator or because it has lapsed. */
    z.object({ type: z.literal("unblock-part"), part: z.string() }),
    /** Software versions that the endpoints of each service have had lately. */
    z.object({ type: z.literal("versions"), history: versionHistorySchema }),
    /** An order to roll a software version out; the first one that is committed holds. */
    orderCommandSchema,
    /** A step of a roll-out, or its end. */
    progressCommandSchema,
    /** No change; committing it proves that the holder still leads. */
    z.object({ type: z.literal("barrier") }),
]);
export type StewardCommand = z.infer<typeof commandSchema>;

const stateSchema = z.object({
    version: z.number(),
    text: z.string(),
    office: z.object({ fence: z.number(), holder: z.string() }).optional(),
    reports: z.array(reportSchema),
    members: z.number().default(0),
    engineRates: z.record(z.string(), z.number()).default({}),
    blockedParts: z.array(blockedPartSchema).default([]),
    /** Absent before the first list of endpoints, and in states of versions that did not record it. */
    versions: versionHistorySchema.optional(),
    /** All members that have held the duties; absent in states of versions that did not record them. */
    holders: z.array(z.string()).optional(),
    /** Absent before the first order, and in states of versions without roll-outs. */
    rollouts: rolloutBookSchema.optional(),
});

/** Returns the command of a text, or undefined if this version cannot read it. */
export function parseCommand(text: string): StewardCommand | undefined {
    try {
        return safeParseLate(commandSchema, JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}

/** Result of a command. */
export interface CommandOutcome {
    /** Version of the catalog in force. */
    version: number;
    fence: number;
    /** Previous holder of the duties, for a command `office`. */
    previousHolder?: string;
    /** Whether the holder may have held the duties before, for a command `office`. */
    heldBefore?: boolean;
    /** The final report of the window, for a command `usage`. */
    report?: UsageReport;
    /** What became of the order, for a command `rollout-order`. */
    order?: OrderOutcome;
}

/** The replicated state machine of the stewards: catalog, duty holder, usage reports and fleet figures. */
export class StewardState implements StateMachine {
    private state: z.infer<typeof stateSchema> = {
        version: -1,
        text: "",
        reports: [],
        members: 0,
        engineRates: {},
        blockedParts: [],
        holders: [],
    };
    private cachedBlocked:
        | { blockedParts: readonly BlockedPart[]; keys: ReadonlySet<string>; tag: number; }
        | undefined;
    private role: Role = "follower";
    private term = 0;
    /** Term of the last entry that was applied while this member followed or led without interruption. */
    private appliedTerm: number | undefined;

    constructor(
        private readonly onLeadership: (isLeader: boolean, term: number) => void,
        private readonly onCatalog: (version: number) => void,
        /** Called for a committed command that this version cannot read. */
        private readonly onUnreadable: (index: number) => void = () => undefined,
    ) {}

    /** The operator's catalog in force; undefined before the first one. */
    get catalog(): { version: number; text: string; } | undefined {
        return this.state.version < 0 ? undefined : { version: this.state.version, text: this.state.text };
    }

    /** The current holder of the duties with its fencing number; undefined before the first one. */
    get dutyAssignment(): { fence: number; holder: string; } | undefined {
        return this.state.office;
    }

    /** Number of ingresses that a leader recorded last. */
    get ingressCount(): number {
        return this.state.members;
    }

    /** Prompt speed of the engines by service, in tokens per millisecond. */
    get engineRates(): Readonly<Record<string, number>> {
        return ownRecord(this.state.engineRates);
    }

    /** Software versions of the services; undefined before the first list of endpoints. */
    get versions(): VersionHistory | undefined {
        return this.state.versions;
    }

    /** Roll-outs of software versions. */
    get rollouts(): RolloutBook {
        return this.state.rollouts ?? emptyRolloutBook;
    }

    /** Prompt parts and requests that are refused, in the order of the verdicts. */
    get blockedParts(): readonly BlockedPart[] {
        return this.state.blockedParts;
    }

    /** Keys of the prompt parts and requests that are refused, and a tag of these verdicts that is never 0. */
    get blocked(): { keys: ReadonlySet<string>; tag: number; } {
        const { blockedParts } = this.state;
        if (this.cachedBlocked?.blockedParts !== blockedParts) {
            const keys = blockedParts.map(({ part }) => part);
            const tag = murmurhash.v3(keys.join(",")) || 1;
            this.cachedBlocked = { blockedParts, keys: new Set(keys), tag };
        }
        return this.cachedBlocked;
    }

    get isLeader(): boolean {
        return this.role === "leader";
    }

    /**
     * Whether this member is known to have applied everything that was committed before its leader's term, and has been
     * in contact with that leader since. After a restart or a partition it may lack changes that were confirmed.
     */
    get isCurrent(): boolean {
        return this.appliedTerm === this.term;
    }

    get currentTerm(): number {
        return this.term;
    }

    report(window: number): UsageReport | undefined {
        return this.state.reports.find(report => report.window === window);
    }

    apply(text: string, index: number): CommandOutcome {
        const previousHolder = this.state.office?.holder;
        let heldBefore: boolean | undefined;
        let order: OrderOutcome | undefined;
        const command = parseCommand(text);
        if (command === undefined) {
            // An exception would recur at every start, since the log is replayed.
            this.onUnreadable(index);
        }
        switch (command?.type) {
            case "catalog":
                if (command.version > this.state.version) {
                    this.state.version = command.version;
                    this.state.text = command.text;
                    this.onCatalog(command.version);
                }
                break;
            case "office":
                heldBefore = this.state.holders?.includes(command.holder) ?? true;
                this.state.office = { fence: index, holder: command.holder };
                this.state.holders = this.state.holders && [...new Set([...this.state.holders, command.holder])];
                break;
            case "usage":
                if (this.report(command.report.window) === undefined) {
                    this.state.reports = [...this.state.reports, command.report].slice(-retainedReports);
                }
                break;
            case "members":
                this.state.members = command.count;
                break;
            case "engine-rate":
                this.state.engineRates = { ...this.state.engineRates, [command.service]: command.tokensPerMs };
                break;
            case "block-part":
                this.state.blockedParts = [
                    ...this.state.blockedParts.filter(({ part }) => part !== command.verdict.part),
                    command.verdict,
                ].slice(-maxBlockedParts);
                break;
            case "unblock-part":
                this.state.blockedParts = this.state.blockedParts.filter(({ part }) => part !== command.part);
                break;
            case "versions":
                this.state.versions = command.history;
                break;
            case "rollout-order":
                ({ book: this.state.rollouts, outcome: order } = applyOrder(this.rollouts, command));
                break;
            case "rollout-progress":
                this.state.rollouts = applyProgress(this.rollouts, command);
                break;
            case "barrier":
            case undefined:
                break;
        }
        return {
            version: this.state.version,
            fence: this.state.office?.fence ?? 0,
            previousHolder,
            heldBefore,
            order,
            report: command?.type === "usage" ? this.report(command.report.window) : undefined,
        };
    }

    snapshot(): string {
        return JSON.stringify(this.state);
    }

    restore(state: string): void {
        this.state = stateSchema.parse(JSON.parse(state));
        if (this.state.version >= 0) {
            this.onCatalog(this.state.version);
        }
    }

    onEntryApplied(entry: Entry): void {
        this.appliedTerm = this.role === "leader" || this.role === "follower" ? entry.term : undefined;
    }

    onRole(role: Role, term: number): void {
        const led = this.isLeader;
        if (term !== this.term || role !== "leader" && role !== "follower") {
            this.appliedTerm = undefined;
        }
        this.role = role;
        this.term = term;
        if (led !== this.isLeader || this.isLeader) {
            this.onLeadership(this.isLeader, term);
        }
    }

    onLease(until: number | undefined): void {
        void until;
    }
}
