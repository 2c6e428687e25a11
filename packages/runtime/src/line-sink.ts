import { write } from "node:fs";

/** Maximum size of the lines buffered for a slow reader, in characters; further lines are dropped and counted. */
const maxPendingChars = 262_144;

/** Writes a text; resolves when it has been written. */
type WriteText = (text: string) => Promise<void>;

function writeToDescriptor(fd: number): WriteText {
    return text =>
        new Promise((resolve, reject) => {
            write(fd, text, err => err ? reject(err) : resolve());
        });
}

/**
 * Writes lines, by default to standard output, without blocking the event loop. Standard output can be a pipe, to which
 * Node.js writes synchronously; a thread of the libuv pool waits for the reader instead.
 */
export class LineSink {
    private pendingLines: string[] = [];
    private pendingChars = 0;
    private flushing: Promise<void> | undefined;
    private droppedCount = 0;
    private reportedCount = 0;

    constructor(private readonly writeText: WriteText = writeToDescriptor(1)) {}

    /** Number of lines dropped since the start. */
    get droppedLines(): number {
        return this.droppedCount;
    }

    write(line: string): void {
        if (this.pendingChars + line.length > maxPendingChars) {
            this.droppedCount++;
            return;
        }
        this.pendingLines.push(line);
        this.pendingChars += line.length;
        this.flushing ??= new Promise(resolve => {
            setImmediate(() => void this.flush().then(resolve));
        });
    }

    /** Resolves when all lines have been written. A reader that does not read delays it without end. */
    async flushed(): Promise<void> {
        await this.flushing;
    }

    private async flush(): Promise<void> {
        while (this.pendingLines.length > 0) {
            const text = this.pendingLines.join("");
            this.pendingLines = [];
            this.pendingChars = 0;
            try {
                await this.writeText(text);
            }
            catch {
                // The output has no reader any more, so the error cannot be reported.
                this.droppedCount++;
            }
            if (this.droppedCount > this.reportedCount) {
                this.pendingLines.push(
                    `level=warn event=log.dropped lines=${this.droppedCount - this.reportedCount}\n`,
                );
                this.reportedCount = this.droppedCount;
            }
        }
        this.flushing = undefined;
    }
}
