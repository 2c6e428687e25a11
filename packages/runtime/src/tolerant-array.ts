import { z } from "zod";
import { safeParseLate } from "./late-schema-code.ts";

/** An array in a message; elements that do not match the schema of the elements are left out by themselves. */
export function tolerantArray<T extends z.ZodType>(elementSchema: T) {
    return z.array(z.unknown()).transform(elements =>
        elements.flatMap((element): z.infer<T>[] => {
            const parsed = safeParseLate(elementSchema, element);
            return parsed.success ? [parsed.data] : [];
        })
    );
}
