import type { z } from "zod";

/** What a document lacks, in one line; `root` names the document where an issue concerns all of it. */
export function formatIssues({ issues }: z.ZodError, root = ""): string {
    return issues.map(({ path, message }) => `${path.join(".") || root}: ${message}`).join("; ");
}
