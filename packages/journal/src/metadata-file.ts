import { dirname } from "node:path";
import PQueue from "p-queue";
import { replaceFile } from "./atomic-file.ts";
import { decodeChecksummed, encodeChecksummed } from "./checksummed-file.ts";
import { RestartRequiredError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";

const magic = "LRMD";

/** A file with a small record that is replaced as a whole, for example term and vote. */
export class MetadataFile {
    private readonly queue = new PQueue({ concurrency: 1 });
    private failure: RestartRequiredError | undefined;

    private constructor(
        private readonly files: FileAccess,
        private readonly path: string,
        private syncedValue: Uint8Array | undefined,
    ) {}

    static async open(files: FileAccess, path: string): Promise<MetadataFile> {
        const content = await files.readFile(path);
        const value = content === undefined ? undefined : decodeChecksummed(path, magic, content);
        // A process that died after the rename may have left the rename unsynced; the content was synced before it.
        await files.syncFolder(dirname(path));
        return new MetadataFile(files, path, value);
    }

    /** The last synced value, or undefined before the first replacement. */
    get value(): Uint8Array | undefined {
        return this.syncedValue;
    }

    /** Replaces the value and resolves when the new one is durable. A `DiskFullError` leaves the old one unchanged. */
    async replace(value: Uint8Array): Promise<void> {
        const copy = Uint8Array.from(value);
        await this.queue.add(async () => {
            if (this.failure !== undefined) {
                throw this.failure;
            }
            try {
                await replaceFile(this.files, this.path, encodeChecksummed(magic, [copy]));
                this.syncedValue = copy;
            }
            catch (err) {
                if (err instanceof RestartRequiredError) {
                    this.failure = err;
                }
                throw err;
            }
        });
    }
}
