import { cac } from "cac";
import { CloudApi, type HttpStandIn, InstanceList, ModelEngine, PlainService, WeightStore } from "./index.ts";

const usageError = 2;
const diedStatus = 70;

const kinds: Readonly<Record<string, (options: object) => HttpStandIn>> = {
    engine: options => new ModelEngine(options),
    service: options => new PlainService(options),
    "weight-store": options => new WeightStore(options),
    cloud: options => new CloudApi(options),
    "instance-list": options => new InstanceList(options),
};

async function run(kind: string, json: string): Promise<void> {
    const create = kinds[kind];
    if (create === undefined) {
        console.error(`no stand-in ${kind}; there are ${Object.keys(kinds).join(", ")}`);
        process.exit(usageError);
    }
    const standIn = create(JSON.parse(json) as object);
    standIn.onDie = () => process.exit(diedStatus);
    const address = await standIn.start();
    const stop = () => void standIn.close().then(() => process.exit(0));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    console.log(JSON.stringify({ ready: true, ...address }));
}

const cli = cac("stand-ins");
cli.command("<kind> [options]", "Start one stand-in; the options are a JSON object")
    .action(async (kind: string, json = "{}") => {
        await run(kind, json).catch((err: unknown) => {
            console.error(err instanceof Error ? err.message : String(err));
            process.exit(usageError);
        });
    });
cli.help();
cli.parse();
