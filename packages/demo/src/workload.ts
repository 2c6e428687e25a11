import type { Questionnaire } from "@lentilramp/questionnaire";
import { type RandomSource, SeededRandom } from "@lentilramp/runtime";
import { type ChatRequest, type ChatResult, runChat } from "./chat-caller.ts";
import type { EntryResolver } from "./entry-resolver.ts";
import { type CallResult, runCall, runSealRace } from "./service-caller.ts";

const systemPromptRepeats = 12;
/** The first workspaces of the questionnaire are large and send most requests. */
const largeWorkspaceCount = 2;
/** Share of requests that come only from the large workspaces; the others come from any workspace. */
const largeWorkspaceShare = 0.7;
/** Share of service calls whose key is sealed while the call runs. */
const sealRaceShare = 0.2;
/** Share of the other service calls that are sent twice at once. */
const duplicateCallShare = 0.3;

interface RequestProfile {
    use: string;
    maxTokens: number;
    priority: string;
}

/**
 * Returns one profile for each use that the questionnaire gives for a model. The last use is short chat at high
 * priority; the others, drafts and summaries, are long.
 */
function requestProfiles(questionnaire: Questionnaire): RequestProfile[] {
    const uses = questionnaire.teams.flatMap(team => team.models).flatMap(model => model.uses);
    return uses.map((use, i) => ({
        use,
        maxTokens: i === uses.length - 1 ? 40 : 200,
        priority: i === uses.length - 1 ? "high" : "normal",
    }));
}

/** Sends chat requests and service calls to one deployment until it is stopped, and collects all results. */
export class Workload {
    readonly chats: ChatResult[] = [];
    readonly calls: CallResult[] = [];
    private readonly random: RandomSource;
    private readonly callerLoops: Promise<void>[] = [];
    private readonly profiles: RequestProfile[];
    private isStopped = false;
    private sentChatCount = 0;

    constructor(
        private readonly questionnaire: Questionnaire,
        private readonly resolvers: readonly EntryResolver[],
        seed: number,
    ) {
        this.random = new SeededRandom(seed);
        this.profiles = requestProfiles(questionnaire);
    }

    /** Starts `chatCallerCount` callers of the model and `serviceCallerCount` callers of the services. */
    start(chatCallerCount: number, serviceCallerCount: number): void {
        for (let i = 0; i < chatCallerCount; i++) {
            this.callerLoops.push(
                this.repeat(async () =>
                    void this.chats.push(await runChat(this.nextChatRequest(), this.resolverOf(i)))
                ),
            );
        }
        for (let i = 0; i < serviceCallerCount; i++) {
            this.callerLoops.push(
                this.repeat(async () => void this.calls.push(await this.runNextCall(this.resolverOf(i)))),
            );
        }
    }

    /** Stops each caller after its current request and waits for all of them. */
    async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.all(this.callerLoops);
    }

    private resolverOf(callerIndex: number): EntryResolver {
        return this.resolvers[callerIndex % this.resolvers.length] as EntryResolver;
    }

    private async repeat(sendOne: () => Promise<void>): Promise<void> {
        while (!this.isStopped) {
            await sendOne();
        }
    }

    private nextChatRequest(): ChatRequest {
        const profile = this.profiles[this.random.nextInt(this.profiles.length)] as RequestProfile;
        const workspace = this.pickWorkspace();
        const model = this.questionnaire.teams.flatMap(team => team.models)[0]?.name ?? "";
        return {
            model,
            workspace,
            priority: profile.priority,
            prompt: `${
                `You write ${profile.use} for ${workspace}. `.repeat(systemPromptRepeats)
            }Request ${this.sentChatCount}.`,
            maxTokens: profile.maxTokens,
            seed: this.sentChatCount++,
        };
    }

    private pickWorkspace(): string {
        const { workspaces } = this.questionnaire;
        const index = this.random.next() < largeWorkspaceShare
            ? this.random.nextInt(largeWorkspaceCount)
            : this.random.nextInt(workspaces.length);
        return workspaces[index]?.id ?? "";
    }

    private async runNextCall(resolver: EntryResolver): Promise<CallResult> {
        const services = this.questionnaire.teams.flatMap(team => team.services);
        const service = services[this.random.nextInt(services.length)];
        const operations = service?.operations.filter(operation => !operation.idempotent) ?? [];
        const operation = operations[this.random.nextInt(operations.length)];
        if (service === undefined || operation === undefined) {
            throw new Error(
                "expected every service of the questionnaire to have a non-idempotent operation",
            );
        }
        const workspace = this.pickWorkspace();
        return this.random.next() < sealRaceShare
            ? await runSealRace(resolver, service.name, operation.name, workspace)
            : await runCall(
                resolver,
                service.name,
                operation.name,
                workspace,
                this.random.next() < duplicateCallShare ? 2 : 1,
            );
    }
}
