import type { Questionnaire } from "@lentilramp/questionnaire";
import { type RandomSource, SeededRandom } from "@lentilramp/runtime";
import type { AddressBook } from "./address-book.ts";
import { type OnceResult, runOnce, runSealRace } from "./call-caller.ts";
import { type ChatJob, type ChatResult, runChat } from "./chat-caller.ts";

const systemPromptRepeats = 12;

interface Shape {
    use: string;
    maxTokens: number;
    priority: string;
}

/** Long drafts and summaries, and short chat, as the questionnaire names the uses of the model. */
function shapesOf(answers: Questionnaire): Shape[] {
    const uses = answers.teams.flatMap(team => team.models).flatMap(model => model.uses);
    return uses.map((use, i) => ({
        use,
        maxTokens: i === uses.length - 1 ? 40 : 200,
        priority: i === uses.length - 1 ? "high" : "normal",
    }));
}

/** Sends the workloads of one deployment until it is stopped, and keeps all results. */
export class Workload {
    readonly chats: ChatResult[] = [];
    readonly calls: OnceResult[] = [];
    private readonly random: RandomSource;
    private readonly running: Promise<void>[] = [];
    private readonly shapes: Shape[];
    private stopped = false;
    private sent = 0;

    constructor(private readonly answers: Questionnaire, private readonly books: readonly AddressBook[], seed: number) {
        this.random = new SeededRandom(seed);
        this.shapes = shapesOf(answers);
    }

    /** Starts `chatters` callers of the model and `bookers` callers of the plain service. */
    start(chatters: number, bookers: number): void {
        for (let i = 0; i < chatters; i++) {
            this.running.push(
                this.repeat(async () => void this.chats.push(await runChat(this.nextJob(), this.book(i)))),
            );
        }
        for (let i = 0; i < bookers; i++) {
            this.running.push(this.repeat(async () => void this.calls.push(await this.nextCall(this.book(i)))));
        }
    }

    /** Ends the callers after their current request. */
    async stop(): Promise<void> {
        this.stopped = true;
        await Promise.all(this.running);
    }

    private book(caller: number): AddressBook {
        return this.books[caller % this.books.length] as AddressBook;
    }

    private async repeat(run: () => Promise<void>): Promise<void> {
        while (!this.stopped) {
            await run();
        }
    }

    private nextJob(): ChatJob {
        const shape = this.shapes[this.random.nextInt(this.shapes.length)] as Shape;
        const workspace = this.pickWorkspace();
        const model = this.answers.teams.flatMap(team => team.models)[0]?.name ?? "";
        return {
            model,
            workspace,
            priority: shape.priority,
            prompt: `${`You write ${shape.use} for ${workspace}. `.repeat(systemPromptRepeats)}Request ${this.sent}.`,
            maxTokens: shape.maxTokens,
            seed: this.sent++,
        };
    }

    private pickWorkspace(): string {
        // The first two workspaces are large and send most requests.
        const { workspaces } = this.answers;
        const index = this.random.next() < 0.7 ? this.random.nextInt(2) : this.random.nextInt(workspaces.length);
        return workspaces[index]?.id ?? "";
    }

    private async nextCall(book: AddressBook): Promise<OnceResult> {
        const services = this.answers.teams.flatMap(team => team.services);
        const service = services[this.random.nextInt(services.length)];
        const operations = service?.operations.filter(operation => !operation.idempotent) ?? [];
        const operation = operations[this.random.nextInt(operations.length)];
        if (service === undefined || operation === undefined) {
            throw new Error("the questionnaire names no non-idempotent operation");
        }
        const workspace = this.pickWorkspace();
        return this.random.next() < 0.2
            ? await runSealRace(book, service.name, operation.name, workspace)
            : await runOnce(book, service.name, operation.name, workspace, this.random.next() < 0.3 ? 2 : 1);
    }
}
