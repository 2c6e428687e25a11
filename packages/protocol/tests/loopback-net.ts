/**
 * First three bytes of the loopback addresses of a test process. They differ for any two of 65,024 consecutive process
 * ids: the fleets of two test processes with the same addresses take each other's configurations and fail.
 */
export function loopbackNet(pid: number): string {
    return `127.${1 + Math.floor(pid / 256) % 254}.${pid % 256}`;
}

/**
 * Address for the servers that a test process closes while something still connects to them. A port of 127.0.0.1 that has
 * become free may be taken by a server of another process, which then accepts these connections.
 */
export const ownHost = `${loopbackNet(process.pid)}.241`;
