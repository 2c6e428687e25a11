import { type Agent, request } from "node:http";
import { ports } from "../fleet-harness.ts";
import { type CallSeen, hasBody } from "./promises.ts";
import { patienceOf } from "./soak-catalog.ts";

/** Pause of a slow caller within an answer, in milliseconds. */
const readPauseMs = 120;

/** Sends one request to an ingress; resolves with what its caller saw. */
export async function sendCall(
    call: Pick<CallSeen, "id" | "kind" | "ingress">,
    host: string,
    agent: Agent,
    readsSlowly: boolean,
): Promise<CallSeen> {
    const { id, kind } = call;
    const seen: CallSeen = {
        ...call,
        sentAt: Date.now(),
        endedAt: 0,
        status: undefined,
        seal: undefined,
        body: "",
        complete: false,
    };
    await new Promise<void>(resolve => {
        const req = request({
            host,
            port: ports.front,
            path: `/${kind}/${id}`,
            method: hasBody(kind) ? "POST" : "GET",
            agent,
            headers: {
                host: "soak.example",
                "x-attempt-id": id,
                "api-key": "soak-key",
                "x-deadline-ms": String(patienceOf(kind)),
                ...kind === "long" ? { "transfer-encoding": "chunked" } : {},
            },
        }, res => {
            seen.status = res.statusCode;
            seen.seal = res.headers["x-response-seal"]?.toString();
            res.setEncoding("utf8").on("data", (part: string) => {
                seen.body += part;
                if (readsSlowly && kind === "long") {
                    res.pause();
                    setTimeout(() => res.resume(), readPauseMs);
                }
            });
            res.on("error", () => undefined);
            const finish = (): void => {
                seen.complete = res.complete;
                resolve();
            };
            // A slow caller still has parts of a whole answer to read when its connection closes.
            res.on("end", finish);
            res.on("close", () => res.complete || finish());
        });
        const timer = setTimeout(() => req.destroy(new Error("the caller left")), patienceOf(kind) * 2);
        req.on("error", () => resolve());
        req.on("close", () => clearTimeout(timer));
        req.end(hasBody(kind) ? id : undefined);
    });
    seen.endedAt = Date.now();
    return seen;
}
