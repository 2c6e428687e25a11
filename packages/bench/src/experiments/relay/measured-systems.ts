import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { forkModule } from "../../processes/fork-module.ts";
import { benchConfiguration, MeasuredDeployment } from "../../processes/measured-deployment.ts";

/** A relay whose throughput and processor time are measured. */
export abstract class MeasuredSystem {
    abstract readonly name: string;
    abstract readonly address: { host: string; port: number; };
    /** Processor time used so far, in microseconds. */
    abstract cpuMicroseconds(): Promise<number>;
    abstract stop(): Promise<void>;
}

/** The bare relay. */
export class BareRelay extends MeasuredSystem {
    readonly name = "bare-relay";

    private constructor(private readonly child: ChildProcess, readonly address: { host: string; port: number; }) {
        super();
    }

    static async start(sourcePorts: readonly number[]): Promise<BareRelay> {
        const file = new URL("./bare-relay.ts", import.meta.url);
        const { child, message } = await forkModule<{ port: number; }>(file, sourcePorts.map(String));
        return new BareRelay(child, { host: "127.0.0.1", port: message.port });
    }

    override async cpuMicroseconds(): Promise<number> {
        this.child.send({});
        const [{ cpu }] = await once(this.child, "message") as [{ cpu: { user: number; system: number; }; }];
        return cpu.user + cpu.system;
    }

    override async stop(): Promise<void> {
        this.child.kill();
        await once(this.child, "exit");
    }
}

/** One entry process with a control group of one. */
export class EntryRelay extends MeasuredSystem {
    readonly name = "entry";

    private constructor(private readonly deployment: MeasuredDeployment) {
        super();
    }

    static async start(sourcePorts: readonly number[]): Promise<EntryRelay> {
        const deployment = new MeasuredDeployment();
        // Admission must not bound the relay that is measured.
        deployment.start(false, 4_096);
        await deployment.configure(benchConfiguration(sourcePorts.map(port => ({ host: "127.0.0.1", port }))));
        await deployment.untilPermit();
        return new EntryRelay(deployment);
    }

    override get address(): { host: string; port: number; } {
        return this.deployment.entry;
    }

    override async cpuMicroseconds(): Promise<number> {
        return (await this.deployment.usage(this.deployment.entry)).cpuMicroseconds;
    }

    override async stop(): Promise<void> {
        await this.deployment.stop();
    }
}
