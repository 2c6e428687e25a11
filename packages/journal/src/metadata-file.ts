import { dirname } from "node:path";
import PQueue from "p-queue";
import { replaceFile } from "./atomic-file.ts";
import { decodeChecksummed, encodeChecksummed } from "./checksummed-file.ts";
import { RestartRequiredError } from "./errors.ts";
import type { FileAccess } from "./file-access.ts";

const magic = "LRMD";

/** A small record that is replaced as a whole, for example term and vote. */
export class MetadataFile {
    private readonly work = new PQueue({ concurrency: 1 });
    private failure: RestartRequiredError | undefined;

    private constructor(
        private readonly files: FileAccess,
        private readonly path: string,
        private current: Uint8Array | undefined,
    ) {}

    static async open(files: FileAccess, path: string): Promise<MetadataFile> {
        const content = await files.readFile(path);
        const value = content === undefined ? undefined : decodeChecksummed(path, magic, content);
        // A process that died after the rename may have left it unsynced; the content was synced before the rename.
        await files.syncFolder(dirname(path));
        return new MetadataFile(files, path, value);
    }

    /** The last value that was synced, or undefined before the first. */
    get value(): Uint8Array | undefined {
        return this.current;
    }

    /** Resolves when `value` is durable. A `DiskFullError` leaves the old value in force. */
    async replace(value: Uint8Array): Promise<void> {
        const copy = Uint8Array.from(value);
        await this.work.add(async () => {
            if (this.failure !== undefined) {
                throw this.failure;
            }
            try {
                await replaceFile(this.files, this.path, encodeChecksummed(magic, [copy]));
                this.current = copy;
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
