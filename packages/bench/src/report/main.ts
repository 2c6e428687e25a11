import { runReport } from "./report.ts";

process.exitCode = runReport(process.argv.slice(2), console.log, console.error);
