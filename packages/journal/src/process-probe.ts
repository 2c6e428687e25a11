import { readFileSync } from "node:fs";

/** Identifies one process of one boot of an instance. The process id alone does not, because ids are reused. */
export interface ProcessIdentity {
    pid: number;
    /** Start time in clock ticks since boot. */
    startTime: string;
    bootId: string;
}

/** Identifies the current process, and determines whether another one is alive. */
export abstract class ProcessProbe {
    abstract currentProcess(): ProcessIdentity;
    abstract isAlive(identity: ProcessIdentity): boolean;
}

/** Index of the start time in the fields of /proc/PID/stat after the command. */
const startTimeFieldIndex = 19;

/** Reads process states from /proc of Linux. */
export class LinuxProcessProbe extends ProcessProbe {
    override currentProcess(): ProcessIdentity {
        return { pid: process.pid, startTime: this.readStat(process.pid)?.startTime ?? "", bootId: this.bootId() };
    }

    override isAlive(identity: ProcessIdentity): boolean {
        const found = this.readStat(identity.pid);
        return identity.bootId === this.bootId() && found !== undefined && found.startTime === identity.startTime
            && found.state !== "Z" && found.state !== "X";
    }

    private bootId(): string {
        return readFileSync("/proc/sys/kernel/random/boot_id", "utf8").trim();
    }

    private readStat(pid: number): { state: string; startTime: string; } | undefined {
        let text: string;
        try {
            text = readFileSync(`/proc/${pid}/stat`, "utf8");
        }
        catch {
            return undefined;
        }
        // The second field is the command in parentheses and can contain spaces.
        const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
        return { state: fields[0] ?? "", startTime: fields[startTimeFieldIndex] ?? "" };
    }
}
