/** Schemas of the process settings, and validation of JSON documents. */
export { formatPath } from "./describe-issues.ts";
export * from "./json-document.ts";
export * from "./process-settings.ts";
export * from "./settings-error.ts";
