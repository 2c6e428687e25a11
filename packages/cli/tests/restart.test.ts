import { expect } from "chai";
import { readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import { z } from "zod";
import { FaultGroup } from "./fault-group.ts";

const changes = 600;
/** The records up to a snapshot and those after it, with room for claims and metadata. */
const folderLimitBytes = 2_000_000;

function folderBytes(folder: string): number {
    return readdirSync(folder, { recursive: true, withFileTypes: true })
        .filter(file => file.isFile())
        .reduce((sum, file) => sum + statSync(join(file.parentPath, file.name)).size, 0);
}

const resultSchema = z.looseObject({ ok: z.boolean(), version: z.number() });

describe("restart after many configuration changes", () => {
    let group: FaultGroup;

    beforeEach(async () => {
        group = new FaultGroup();
        await group.startAll([0]);
        await group.found(group.configuration(0.1), ["entry-1"]);
    });

    afterEach(() => group.close());

    /** Commits `count` changes one after the other, at the leader. */
    async function changeOften(prefix: string, count: number): Promise<number> {
        const leader = await group.leader();
        let current = await group.current();
        for (let i = 0; i < count; i++) {
            const params = {
                operationId: `${prefix}-${i}`,
                baseVersion: current.version,
                configuration: { ...current, costWeight: i / count },
            };
            // A refused or lost call is sent again under its operation id, to whichever process leads by then.
            const result = await group.call(leader, "configuration.propose", params, resultSchema)
                .catch(() => group.propose(params.operationId, params.baseVersion, params.configuration));
            expect(result.ok).to.equal(true);
            current = { ...current, version: result.version };
        }
        return current.version;
    }

    function journalFiles(name: string, kind: string): string[] {
        return readdirSync(join(group.folder, name, "agreement")).filter(file => file.startsWith(kind));
    }

    // Guards against a restart from an old snapshot, and against a journal that grows with every change.
    it("holds the newest version after a restart and keeps few files", async () => {
        const half = await changeOften("first", changes / 2);
        await group.stop("control-2");
        const version = await changeOften("second", changes / 2);
        expect(version).to.equal(half + changes / 2);
        await group.startControl(1);
        await group.until(async () => (await group.status("control-2")).version === version);
        await group.until(async () => Number((await group.status("entry-1")).version) === version);
        for (const name of ["control-1", "control-2", "control-3"]) {
            const bytes = folderBytes(join(group.folder, name));
            expect(journalFiles(name, "segment").length, name).to.be.at.most(2);
            expect(journalFiles(name, "snapshot").length, name).to.be.at.most(1);
            expect(bytes, name).to.be.lessThan(folderLimitBytes);
        }
        expect(journalFiles("control-1", "snapshot")).to.have.length(1);
    });
});
