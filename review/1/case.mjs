import { setTimeout as sleep } from "node:timers/promises";
import { configuration, Consumer, isReady, Operator, Replica, runCase, trouble, until } from "../stand-ins.mjs";

/** Time for which a new machine counts as lost after its start, in milliseconds (`catch_up_s`). */
const catchUpMs = 4_000;
/** Time after which everything must be back (`recovery_s`), in milliseconds. */
const recoveryMs = 12_000;
/** Time for which the operator tries afterwards, in milliseconds; the rule asks for `contact_ms`. */
const readMs = 15_000;

await runCase("review/1/record.txt", async ({ site, platform, record }) => {
    const replicas = [1, 2, 3].map(i => new Replica(`i-app-${i}`, "app", record));
    await Promise.all(replicas.map(replica => replica.start()));
    platform.listed = () => replicas.map(({ entry }) => entry);
    await site.start(3, 2);
    const operator = new Operator(site, record);
    await until(
        "the first configuration is confirmed",
        async () => await operator.put(configuration(1), 5_000) === 200,
    );
    await until("the fronts are ready", async () => (await Promise.all(site.fronts.map(isReady))).every(Boolean));
    const consumer = new Consumer(site, record);
    const traffic = consumer.run("/view/", 100);
    await sleep(3_000);

    // Planned work: a core machine gets a successor at another address, which starts first.
    const [first, second, third] = site.cores;
    const successor = site.newCore();
    site.run(successor);
    await sleep(catchUpMs + 1_000);
    await site.end(first, "SIGTERM");
    site.cores = [second, third, successor];
    site.seeds = site.cores;
    if (await operator.put(configuration(5), 5_000) !== 200) {
        throw new Error("no confirmation after the planned replacement");
    }
    await sleep(1_000);

    if (trouble) {
        // The one loss that is to be borne: a machine loses its disk and is back at its address after a second.
        await site.end(second, "SIGKILL");
        site.loseDisk(second);
        await sleep(1_000);
        site.run(second);
    }
    await sleep(recoveryMs);
    const version = await operator.read(readMs);
    const status = await operator.put(configuration(9), 10_000);
    consumer.stopped = true;
    await traffic;
    return version === undefined || version < 5
        ? `${recoveryMs / 1_000} s after the last event, version ${version} was read for ${
            readMs / 1_000
        } s at all core `
            + `machines, 5 is confirmed; the next change got ${status}`
        : undefined;
});
