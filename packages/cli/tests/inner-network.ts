import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Loaded by the processes of a fleet before their program. Connections to other processes of the fleet go to the proxy, and
 * name their source and their target there; all others come from the address of the process.
 */
const hook = (proxyPort: number): string => `
const net = require("node:net");
const { basename } = require("node:path");
const source = basename(process.env.LENTILRAMP_BOOT).slice("settings-".length);
const fleet = source.slice(0, source.lastIndexOf(".") + 1);
const original = net.Socket.prototype.connect;
net.Socket.prototype.connect = function connect(...args) {
    const [first] = args;
    const options = Array.isArray(first) ? first[0] : first;
    const host = options?.host ?? "";
    if (options?.port === undefined) {
        return original.apply(this, args);
    }
    const isInner = host.startsWith(fleet);
    const target = options.host + ":" + options.port;
    const changed = isInner ? { host: "127.0.0.1", port: ${proxyPort} } : { localAddress: source };
    const rest = Array.isArray(first) ? [null] : args.slice(1);
    const listener = Array.isArray(first) ? first[1] : undefined;
    original.call(this, { ...options, ...changed }, ...listener ? [listener] : rest.filter(Boolean));
    if (isInner) {
        this.write(source + " " + target + "\\n");
    }
    return this;
};
`;

interface Link {
    source: string;
    target: string;
    sockets: readonly Socket[];
}

/** A proxy between the processes of a fleet, which cuts off some of them from all others. */
export class InnerNetwork {
    private readonly folder = mkdtempSync(join(tmpdir(), "lentilramp-network-"));
    private readonly cutOff = new Set<string>();
    private readonly links = new Set<Link>();
    private readonly server: Server = createServer(socket => this.accept(socket));

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        writeFileSync(this.hookFile, hook((this.server.address() as AddressInfo).port));
    }

    /** Options of Node.js for the processes. */
    get nodeOptions(): readonly string[] {
        return ["--require", this.hookFile];
    }

    /** Keeps all bytes between a process and the others; its connections stay open, as those across a partition. */
    cut(host: string): void {
        this.cutOff.add(host);
        this.update();
    }

    heal(host: string): void {
        this.cutOff.delete(host);
        this.update();
    }

    close(): void {
        this.server.close();
        this.links.forEach(({ sockets }) => sockets.forEach(socket => socket.destroy()));
        rmSync(this.folder, { recursive: true, force: true });
    }

    private get hookFile(): string {
        return join(this.folder, "hook.cjs");
    }

    private accept(client: Socket): void {
        let preface = "";
        client.on("error", () => undefined);
        const read = (data: Buffer): void => {
            preface += data.toString("latin1");
            const end = preface.indexOf("\n");
            if (end < 0) {
                return;
            }
            client.off("data", read);
            client.pause();
            const [source = "", address = ""] = preface.slice(0, end).split(" ");
            const [target = "", port] = address.split(":");
            this.join(client, source, target, Number(port), Buffer.from(preface.slice(end + 1), "latin1"));
        };
        client.on("data", read);
    }

    private join(client: Socket, source: string, target: string, port: number, first: Buffer): void {
        const server = connect(port, target);
        const link: Link = { source, target, sockets: [client, server] };
        this.links.add(link);
        server.write(first);
        for (const [from, to] of [[client, server], [server, client]] as const) {
            from.on("data", data => to.write(data));
            from.on("end", () => to.end());
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.links.delete(link);
                to.destroy();
            });
        }
        this.update();
    }

    private update(): void {
        for (const { source, target, sockets } of this.links) {
            const isCut = this.cutOff.has(source) || this.cutOff.has(target);
            sockets.forEach(socket => isCut ? socket.pause() : socket.resume());
        }
    }
}
