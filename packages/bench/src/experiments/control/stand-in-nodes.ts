/**
 * Process that stands in for many entry nodes: each subscribes to the configuration and takes part in failure
 * detection, with the modules of the entry process, and does nothing else.
 */
import { ConfigurationSubscriber, MembershipService } from "@lentilramp/entry";
import { ProcessKey, RpcClient } from "@lentilramp/protocol";
import { MemoryEventLog, SystemClock, SystemRandom } from "@lentilramp/runtime";

interface Start {
    key: string;
    control: { host: string; port: number; };
    entries: { id: string; host: string; port: number; }[];
}

async function start({ key: secret, control, entries }: Start): Promise<void> {
    const clock = new SystemClock();
    const random = new SystemRandom();
    const log = new MemoryEventLog();
    log.write = () => undefined;
    const key = new ProcessKey(secret);
    await Promise.all(entries.map(async self => {
        // A client for each node, because nodes share no connection.
        const subscriber = new ConfigurationSubscriber([control], new RpcClient(key, clock), clock, log);
        const membership = new MembershipService(self, key, clock, random, log);
        subscriber.onChange(() => membership.setCandidates(subscriber.view.configuration?.entries ?? []));
        await membership.start();
        await subscriber.start();
    }));
    process.send?.({ ready: true });
}

process.on("message", (message: Start) => void start(message));
