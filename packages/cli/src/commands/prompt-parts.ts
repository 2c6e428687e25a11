import { isRequestKey } from "@lentilramp/fleet";
import { promptPartsAnswerSchema } from "@lentilramp/steward";
import { CommandError, type ExitCode, exitCodes } from "../exit-codes.ts";
import { type ConnectionOptions, withClient } from "../operator-client.ts";
import { formatTable, type Output } from "../output.ts";

export interface PromptPartsOptions extends ConnectionOptions {
    /** Prompt part or request whose verdict is to end. */
    lift?: string;
}

/** Shows the prompt parts and requests that a fleet refuses because they crash endpoints, or ends one verdict. */
export async function promptParts(options: PromptPartsOptions, output: Output): Promise<ExitCode> {
    const { lift } = options;
    return await withClient(options, async client => {
        const [steward] = client.control;
        const ask = async (peer: { host: string; port: number; }) =>
            lift === undefined
                ? await client.call(peer, "prompt-parts.list", {}, promptPartsAnswerSchema)
                : await client.call(peer, "prompt-parts.lift", { part: String(lift) }, promptPartsAnswerSchema);
        let answer = steward === undefined ? undefined : await ask(steward);
        if (answer?.leader !== undefined) {
            answer = await ask(answer.leader);
        }
        if (answer?.leading !== true) {
            throw new CommandError(exitCodes.failed, "no steward leads; try again or name another one with --control");
        }
        if (answer.lifted === false) {
            throw new CommandError(exitCodes.failed, `${lift ?? ""} is not blocked`);
        }
        output.result(
            { blocked: answer.blocked },
            formatTable([
                ["kind", "suspect", "crashes", "endpoints"],
                ...answer.blocked.map(({ part, endpoints }) => [
                    isRequestKey(part) ? "request" : "prompt part",
                    part,
                    String(endpoints.length),
                    endpoints.join(","),
                ]),
            ]),
        );
        return exitCodes.ok;
    });
}
