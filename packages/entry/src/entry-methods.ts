import { handOverKindSchema } from "@lentilramp/configuration";
import type { RpcServer } from "@lentilramp/protocol";
import { z } from "zod";
import type { InFlightCalls } from "./in-flight-calls.ts";
import type { StreamTable } from "./stream-table.ts";

/** Registers the JSON-RPC methods of the entry process. */
export function attachEntryMethods(
    server: RpcServer,
    streams: StreamTable,
    calls: InFlightCalls,
    status: () => Record<string, unknown>,
): void {
    server.method("status", z.object({}), async () => status());
    server.method("entry.inFlight", z.object({ kind: handOverKindSchema, id: z.string() }), async ({ kind, id }) => {
        switch (kind) {
            case "endpoint":
                return { inFlight: streams.atEndpoint(id).length + calls.byEndpoint.get(id) };
            case "workspace":
                return { inFlight: streams.ofWorkspace(id).length + calls.byWorkspace.get(id) };
            case "service":
                return { inFlight: calls.byService.get(id) };
        }
    });
}
