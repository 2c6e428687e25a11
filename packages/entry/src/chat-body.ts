import { formatIssues } from "@lentilramp/protocol";
import { z } from "zod";
import { CallerError } from "./caller-error.ts";

/** Body of `POST /v1/chat/completions`; unknown fields are forwarded to the engine. */
const chatBodySchema = z.looseObject({
    model: z.string().min(1),
    messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1),
    stream: z.boolean().default(false),
    max_tokens: z.int().positive().max(100_000).optional(),
    /** Text that the caller has already received; requires the header `last-event-id`. */
    resume_text: z.string().optional(),
});

export type ChatBody = z.infer<typeof chatBodySchema>;

export function parseChatBody(value: unknown): ChatBody {
    const parsed = chatBodySchema.safeParse(value);
    if (!parsed.success) {
        throw new CallerError(400, "malformed-request", formatIssues(parsed.error, "body"), "not-run");
    }
    return parsed.data;
}

/** Parses `last-event-id`, the number of tokens that the caller has received. Returns 0 without the header. */
export function parseReceivedCount(header: string | string[] | undefined, body: ChatBody): number {
    if (header === undefined) {
        return 0;
    }
    const count = Number(header);
    if (!Number.isSafeInteger(count) || count < 0 || (count > 0 && body.resume_text === undefined)) {
        throw new CallerError(
            400,
            "malformed-request",
            "last-event-id must be a token count and needs resume_text in the body",
            "not-run",
        );
    }
    return count;
}
