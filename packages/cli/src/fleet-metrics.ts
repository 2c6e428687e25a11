import type { MetricTable } from "@lentilramp/runtime";

/** Metrics of the processes of a fleet; docs/OPERATIONS.md lists them. */
export const fleetMetrics = {
    requests: { kind: "counter", help: "Requests by their final outcome", labels: ["execution", "outcome"] },
    refusals: { kind: "counter", help: "Requests answered without an endpoint", labels: ["reason"] },
    caller_cuts: { kind: "counter", help: "Callers' connections closed without a complete answer", labels: ["cause"] },
    sends: { kind: "counter", help: "Sends to endpoints by what became of them", labels: ["outcome"] },
    limited_sends: { kind: "counter", help: "Sends to endpoints that limit their requests", labels: ["path"] },
    limit_permits: { kind: "counter", help: "Permits for endpoints with a limit that the leader granted" },
    first_byte: { kind: "duration", help: "Arrival to the first byte for the caller", labels: ["execution"] },
    whole_answer: { kind: "duration", help: "Arrival to the end of the answer", labels: ["execution"] },
    in_progress: { kind: "gauge", help: "Requests in progress" },
    waiting: { kind: "gauge", help: "Requests that wait for a place" },
    catalog_version: { kind: "gauge", help: "Number of the catalog in force here" },
    endpoints_ready: { kind: "gauge", help: "Endpoints that may get requests" },
    endpoints_limited: { kind: "gauge", help: "Endpoints that limit their requests" },
    list_age: { kind: "gauge", help: "Age of the list of endpoints in seconds" },
    blocked_parts: { kind: "gauge", help: "Prompt parts and requests that are refused because they crash endpoints" },
    syncs_waiting: { kind: "gauge", help: "Syncs of ingresses that wait for their turn at this steward" },
    syncs_dropped: { kind: "gauge", help: "Syncs since the start that were dropped because their senders gave up" },
    sync_delay: { kind: "gauge", help: "Seconds by which the last sync started late; the process was busy" },
    sync_age: { kind: "gauge", help: "Seconds since the last answer of the leading steward" },
    members: { kind: "gauge", help: "Ingresses among which caps are split" },
    leads: { kind: "gauge", help: "1 when this steward leads" },
    fence: { kind: "gauge", help: "Fencing number of the office" },
    event_loop_utilization: {
        kind: "gauge",
        help: "Part of the time since the last read in which the process was busy",
    },
    resident_bytes: { kind: "gauge", help: "Resident memory in bytes" },
    log_lines_dropped: { kind: "gauge", help: "Log lines dropped because nobody read them" },
} as const satisfies MetricTable;
