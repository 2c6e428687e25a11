import type { z } from "zod";

/**
 * Formats validation issues on one line, separated by semicolons. An issue that concerns the whole document is shown
 * under `root` instead of a path.
 */
export function formatIssues({ issues }: z.ZodError, root = ""): string {
    return issues.map(({ path, message }) => `${path.join(".") || root}: ${message}`).join("; ");
}
