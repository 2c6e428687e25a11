import { z } from "zod";

/** A port to which a connection can be opened; with any other number, Node.js throws an exception. */
export const portSchema = z.int().min(1).max(65_535);
