import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** What the proxy does to the bytes between the fleet and one endpoint. */
export type ProxyMode = "pass" | "delay" | "reset" | "silent" | "one-way";

const delayMs = 120;

/** A proxy on loopback in front of one endpoint, with faults that come and go. */
export class ChaosProxy {
    private current: ProxyMode = "pass";
    private readonly sockets = new Set<Socket>();
    private readonly server: Server = createServer(client => this.accept(client));

    constructor(private readonly targetPort: () => number) {}

    set mode(mode: ProxyMode) {
        this.current = mode;
        if (mode === "reset") {
            this.sockets.forEach(socket => socket.resetAndDestroy());
        }
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private accept(client: Socket): void {
        if (this.current === "reset") {
            client.resetAndDestroy();
            return;
        }
        const target = connect(this.targetPort(), "127.0.0.1");
        this.pipe(client, target, "there");
        this.pipe(target, client, "back");
    }

    private pipe(from: Socket, to: Socket, direction: "there" | "back"): void {
        this.sockets.add(from);
        // A path delays bytes but never changes their order, also when the delay ends while some are on their way.
        let passed = Promise.resolve();
        const passOn = (action: () => void): void => {
            const dueAt = Date.now() + (this.current === "delay" ? delayMs : 0);
            passed = passed.then(() => dueAt > Date.now() ? sleep(dueAt - Date.now()) : undefined).then(action);
        };
        from.on("error", () => to.destroy());
        from.on("close", () => {
            this.sockets.delete(from);
            to.destroy();
        });
        from.on("data", data => {
            const lost = this.current === "silent" || this.current === "one-way" && direction === "back";
            if (lost) {
                // Bytes that the path swallowed never come; the connection is useless from here on.
                from.removeAllListeners("data");
                from.resume();
            }
            else {
                passOn(() => to.write(data));
            }
        });
        from.on("end", () => passOn(() => to.end()));
    }
}
