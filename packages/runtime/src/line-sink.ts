import { write } from "node:fs";

/** Lines that wait for a slow reader, in characters; beyond it lines are dropped and counted. */
const maxWaitingChars = 262_144;

/** Writes to a file descriptor; resolves when the text was written. */
type WriteText = (text: string) => Promise<void>;

function writeToDescriptor(fd: number): WriteText {
    return text =>
        new Promise((resolve, reject) => {
            write(fd, text, err => err ? reject(err) : resolve());
        });
}

/**
 * Writes lines without ever blocking the event loop. Standard output can be a pipe, to which Node.js writes
 * synchronously; here a thread of the pool waits for the reader instead.
 */
export class LineSink {
    private waiting: string[] = [];
    private waitingChars = 0;
    private writing = false;
    private dropped = 0;
    private reported = 0;

    constructor(private readonly writeText: WriteText = writeToDescriptor(1)) {}

    /** Lines dropped since the start. */
    get droppedLines(): number {
        return this.dropped;
    }

    write(line: string): void {
        if (this.waitingChars + line.length > maxWaitingChars) {
            this.dropped++;
            return;
        }
        this.waiting.push(line);
        this.waitingChars += line.length;
        if (!this.writing) {
            this.writing = true;
            setImmediate(() => void this.flush());
        }
    }

    private async flush(): Promise<void> {
        while (this.waiting.length > 0) {
            const text = this.waiting.join("");
            this.waiting = [];
            this.waitingChars = 0;
            try {
                await this.writeText(text);
            }
            catch {
                // Nobody reads any more; there is no other place to report this.
                this.dropped++;
            }
            if (this.dropped > this.reported) {
                this.waiting.push(`level=warn event=log.dropped lines=${this.dropped - this.reported}\n`);
                this.reported = this.dropped;
            }
        }
        this.writing = false;
    }
}
