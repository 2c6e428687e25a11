import type { Result } from "ts-results-es";
import type { Catalog } from "./catalog.ts";

/** Decodes the catalog text of the operator. The text is stored and distributed as it is. */
export abstract class CatalogCodec {
    /** Returns the catalog, or the reason why the text cannot be decoded. */
    abstract decode(text: string): Result<Catalog, string>;
}
