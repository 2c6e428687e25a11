import { Model, type Step } from "./explorer.ts";
import { type Hash, hashText } from "./hash.ts";
import { InvariantViolation } from "./history.ts";

/** Rules on the votes of members that stop or are lost, which the checker can turn off. */
export type VoteRule =
    /** A member that stops as planned ends only when it has no vote, or the group has none to spare. */
    | "vote-released-before-end"
    /** A silent voter loses its vote within its successor's catch-up time, if the group has votes to spare. */
    | "silent-voter-demoted";

/** One identity. An instance that has lost its disk, or is replaced, goes on under another one. */
interface Identity {
    readonly member: boolean;
    readonly vote: boolean;
    readonly runs: boolean;
    readonly stopping: boolean;
    /** Whether its instance still counts as lost, although it runs again. */
    readonly catchingUp: boolean;
    /** The identity of the same name whose disk was lost; it must be removed first. */
    readonly replaces: number | undefined;
}

interface VotesState {
    readonly identities: readonly Identity[];
    readonly plannedStops: number;
    readonly successors: number;
    readonly diskLosses: number;
    readonly crashes: number;
}

const toleratedLosses = 1;
const neededVoters = 2 * toleratedLosses + 1;
const founder: Identity = {
    member: true,
    vote: true,
    runs: true,
    stopping: false,
    catchingUp: false,
    replaces: undefined,
};
const newcomer: Identity = { ...founder, member: false, vote: false, catchingUp: true };

/**
 * The votes of a group whose members are replaced as planned, crash for good, and lose their disks, no more at a time
 * than it tolerates. The leader makes its changes one by one, at any moment; an instance has caught up only when there is
 * nothing left to change. A small specification, not production code.
 */
export class VotesModel extends Model<VotesState> {
    readonly name = "votes";
    readonly invariants = ["the voters that run are a majority"];

    constructor(
        private readonly limits: Pick<VotesState, "successors" | "diskLosses" | "crashes">,
        private readonly off: readonly VoteRule[],
    ) {
        super();
    }

    override initial(): VotesState[] {
        return [{ identities: [founder, founder, founder], plannedStops: 0, ...this.limits }];
    }

    override hash(state: VotesState): Hash {
        return hashText(JSON.stringify(state));
    }

    override check({ identities }: VotesState): void {
        if (!canDecide(identities)) {
            throw new InvariantViolation("the voters that run are a majority", JSON.stringify(identities));
        }
    }

    override steps(state: VotesState): Step<VotesState>[] {
        const changes = this.leaderChanges(state);
        const events = this.events(state, changes.length === 0);
        return [...changes, ...events].map(({ label, next }) => ({ label, take: () => next }));
    }

    /** The changes that a leader may make now. Each must be committed by the members before and after it. */
    private leaderChanges(state: VotesState): { label: string; next: VotesState; }[] {
        const { identities } = state;
        const votes = identities.filter(({ vote }) => vote).length;
        const steps: { label: string; next: VotesState; }[] = [];
        const add = (label: string, i: number, change: Partial<Identity>): void => {
            const next = replace(state, i, change);
            if (canDecide(next.identities)) {
                steps.push({ label: `${label} ${i}`, next });
            }
        };
        identities.forEach(({ member, vote, runs, stopping, replaces }, i) => {
            const lost = replaces === undefined ? undefined : identities[replaces];
            if (!member && runs && lost?.member === true) {
                add("remove the lost identity", replaces ?? 0, { member: false, vote: false });
            }
            else if (!member && runs) {
                add("admit", i, { member: true });
            }
            if (member && !vote && runs && !stopping) {
                add("promote", i, { vote: true });
            }
            const mayTake = stopping && runs || !runs && this.enforces("silent-voter-demoted");
            if (vote && mayTake && votes > neededVoters) {
                add("demote", i, { vote: false });
            }
        });
        return steps;
    }

    private events(state: VotesState, isSettled: boolean): { label: string; next: VotesState; }[] {
        const { identities, successors, diskLosses, crashes, plannedStops } = state;
        const steps: { label: string; next: VotesState; }[] = [];
        const lost = identities.filter(({ catchingUp }) => catchingUp).length;
        const spare = identities.filter(({ vote }) => vote).length > neededVoters
            || identities.some(({ runs, vote, stopping }) => runs && !vote && !stopping);
        if (lost < toleratedLosses && successors > 0) {
            const next = append(state, newcomer);
            steps.push({
                label: "a successor starts",
                next: { ...next, successors: successors - 1, plannedStops: plannedStops + 1 },
            });
        }
        identities.forEach(({ runs, stopping, catchingUp, vote, member }, i) => {
            if (catchingUp && isSettled) {
                steps.push({ label: `caught up ${i}`, next: replace(state, i, { catchingUp: false }) });
            }
            if (!runs || catchingUp || !member) {
                return;
            }
            if (stopping) {
                if (!vote || !spare || !this.enforces("vote-released-before-end")) {
                    steps.push({ label: `end ${i}`, next: replace(state, i, { runs: false, stopping: false }) });
                }
                return;
            }
            if (plannedStops > 0 && lost === 0) {
                const next = replace(state, i, { stopping: true });
                steps.push({ label: `stop ${i}`, next: { ...next, plannedStops: plannedStops - 1 } });
            }
            if (lost < toleratedLosses && diskLosses > 0) {
                const next = append(replace(state, i, { runs: false }), { ...newcomer, replaces: i });
                steps.push({ label: `lose disk ${i}`, next: { ...next, diskLosses: diskLosses - 1 } });
            }
            if (lost < toleratedLosses && crashes > 0) {
                const next = append(replace(state, i, { runs: false }), newcomer);
                steps.push({ label: `crash for good ${i}`, next: { ...next, crashes: crashes - 1 } });
            }
        });
        return steps;
    }

    private enforces(rule: VoteRule): boolean {
        return !this.off.includes(rule);
    }
}

function canDecide(identities: readonly Identity[]): boolean {
    const voters = identities.filter(({ vote }) => vote);
    return voters.filter(({ runs }) => runs).length * 2 > voters.length;
}

function replace(state: VotesState, i: number, change: Partial<Identity>): VotesState {
    return { ...state, identities: state.identities.map((other, j) => j === i ? { ...other, ...change } : other) };
}

function append(state: VotesState, identity: Identity): VotesState {
    return { ...state, identities: [...state.identities, identity] };
}
