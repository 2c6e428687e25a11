import { ProcessKey } from "@lentilramp/protocol";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { httpGet } from "./lookup.ts";

/** Prints the state of one process as JSON. */
export async function dump(address: string, keyFile: string): Promise<ExitCode> {
    try {
        const text = await httpGet(address, "/dump", { authorization: ProcessKey.read(keyFile).authorization() });
        console.log(JSON.stringify(JSON.parse(text), undefined, 4));
        return exitCodes.ok;
    }
    catch (err) {
        const message = err instanceof Error ? err.message : String(err);
        const code = message.startsWith("status 401") ? exitCodes.unauthorized : exitCodes.failed;
        throw new CommandError(code, `${address}: ${message}`);
    }
}
