import type { Result } from "ts-results-es";
import type { Catalog } from "./catalog.ts";

/** Reads the operator's text. The text itself is what is stored and distributed. */
export abstract class CatalogCodec {
    /** Returns the catalog, or why the text cannot be read. */
    abstract decode(text: string): Result<Catalog, string>;
}
