import type { EventLog } from "@lentilramp/runtime";
import type { EventEmitter } from "node:events";

/**
 * Calls `stop` at the first error that nothing has caught, instead of letting the process end at once: its state can no
 * longer be trusted, but requests in progress may still end. `events` emits `uncaughtException` for errors and for
 * rejections of promises without a handler, as `process` does.
 */
export function stopAtFatalError(events: EventEmitter, stop: () => void, log: EventLog): void {
    let stopping = false;
    events.on("uncaughtException", (err: unknown) => {
        log.error("process.fatal-error", { error: err instanceof Error ? err.stack ?? err.message : String(err) });
        if (!stopping) {
            stopping = true;
            stop();
        }
    });
}
