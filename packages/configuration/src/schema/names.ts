import { z } from "zod";

/** Id or name of an item: 1 to 128 characters without white space. */
export const nameSchema = z.string().min(1).max(128).regex(/^\S+$/, "must not contain white space");

/** Host name or IP address and TCP port of a process. */
export const addressFields = {
    host: z.string().min(1).max(253),
    port: z.int().min(1).max(65_535),
};

/** Version of the configuration; 0 is the empty configuration before the first change. */
export const versionSchema = z.int().min(0);

/** Instant in milliseconds since the Unix epoch. */
export const instantSchema = z.number().min(0);
