import log from "loglevel";

/** Value of a field in a log line. */
export type EventValue = string | number | boolean | undefined;
export type EventFields = Readonly<Record<string, EventValue>>;
export type EventLevel = "debug" | "info" | "warn" | "error";

const needsQuotes = /[\s"=]/;

function formatValue(value: EventValue): string {
    const text = String(value);
    return text === "" || needsQuotes.test(text) ? JSON.stringify(text) : text;
}

/** Formats one event as a line of key=value pairs; undefined fields are omitted. */
export function formatEvent(timeMs: number, level: EventLevel, name: string, fields: EventFields): string {
    const pairs = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => `${key}=${formatValue(value)}`);
    return [`time=${new Date(timeMs).toISOString()}`, `level=${level}`, `event=${name}`, ...pairs].join(" ");
}

/** Writes structured events. Event names are stable; docs/operations/logs.md lists them. */
export abstract class EventLog {
    abstract write(level: EventLevel, name: string, fields: EventFields): void;

    debug(name: string, fields: EventFields = {}): void {
        this.write("debug", name, fields);
    }

    info(name: string, fields: EventFields = {}): void {
        this.write("info", name, fields);
    }

    warn(name: string, fields: EventFields = {}): void {
        this.write("warn", name, fields);
    }

    error(name: string, fields: EventFields = {}): void {
        this.write("error", name, fields);
    }
}

/**
 * Event log of a process. Writes to standard error by default, so that standard output carries only the results of
 * commands.
 */
export class ProcessEventLog extends EventLog {
    private readonly logger;

    constructor(
        private readonly now: () => number,
        private readonly commonFields: EventFields,
        level: EventLevel,
        writeLine: (line: string) => void = line => void process.stderr.write(line),
    ) {
        super();
        this.logger = log.getLogger(`lentilramp-${String(commonFields.process ?? "")}`);
        this.logger.methodFactory = () => (...parts: unknown[]) => writeLine(`${parts.join(" ")}\n`);
        this.logger.setLevel(level, false);
    }

    override write(level: EventLevel, name: string, fields: EventFields): void {
        this.logger[level](formatEvent(this.now(), level, name, { ...this.commonFields, ...fields }));
    }
}

/** Keeps events in memory for tests. */
export class MemoryEventLog extends EventLog {
    readonly events: { level: EventLevel; name: string; fields: EventFields; }[] = [];

    override write(level: EventLevel, name: string, fields: EventFields): void {
        this.events.push({ level, name, fields });
    }
}
