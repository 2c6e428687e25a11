/** Clock, random source, lifecycle manager, event log, metrics and state dump. */
export * from "./clock.ts";
export * from "./event-log.ts";
export * from "./late-schema-code.ts";
export * from "./lifecycle.ts";
export * from "./line-sink.ts";
export * from "./metrics.ts";
export * from "./periodic-component.ts";
export * from "./prometheus-metrics.ts";
export * from "./random-source.ts";
export * from "./state-dump.ts";
export * from "./statsd-metrics.ts";
export * from "./throttled-event-log.ts";
export * from "./tolerant-array.ts";
