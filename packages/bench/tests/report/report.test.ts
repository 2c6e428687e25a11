import { expect } from "chai";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { axisLabel } from "../../src/report/axis-label.ts";
import { readPageAssets } from "../../src/report/page-assets.ts";
import { renderPage } from "../../src/report/page.ts";
import { plotData } from "../../src/report/plot-data.ts";
import { createPlots } from "../../src/report/plots.ts";
import { runReport } from "../../src/report/report.ts";

function point(variant: string, setting: Record<string, string | number>, value: number | undefined) {
    return { variant, setting, figures: { delayMs: value } };
}

function result(name: string) {
    const target = { name, goal: name, measured: undefined, met: false };
    const points = [point(name, { nodes: 1, [name]: name }, 1), point("other", { nodes: 2 }, 2), point(name, {}, 3)];
    return { experiment: name, seed: 7, settings: { [name]: name }, points, targets: [target] };
}

describe("bench report", () => {
    // Guards against a baseline that gets a plot of its own because the candidate has one more setting.
    it("groups the points of all variants into one plot with one series for each variant", () => {
        const plots = createPlots([
            point("baseline", { load: 0.7 }, 2),
            point("baseline", { load: 0.5 }, 1),
            point("candidate", { load: 0.5, lagMs: 100 }, 3),
            point("candidate", { load: 0.7, lagMs: 100 }, undefined),
            point("candidate", { load: 0.5, lagMs: 500 }, 5),
            point("candidate", { load: 0.5, lagMs: 900 }, 9),
        ]);
        const series = [
            { label: "baseline", points: [[0.5, 1], [0.7, 2]] },
            { label: "candidate, lagMs=100", points: [[0.5, 3]] },
            { label: "candidate, lagMs=500", points: [[0.5, 5]] },
            { label: "candidate, lagMs=900", points: [[0.5, 9]] },
        ];
        expect(plots).to.deep.equal([{ kind: "line", figure: "delayMs", x: "load", series }]);
    });

    // Guards against points that vanish, or lose their setting in the label, because the others have a numeric setting.
    it("draws points without a common numeric setting as bars", () => {
        const points = [point("a", { nodes: 1 }, 1), point("a", { nodes: 2 }, 2), point("b", { kind: "x" }, 3)];
        const [line, bar] = createPlots(points);
        expect(line).to.deep.include({ kind: "line", x: "nodes" });
        expect(bar).to.deep.include({ kind: "bar", bars: [{ label: "b, kind=x", value: 3 }] });
    });

    // Guards against values drawn at the x value of another series, and against the loss of repeated points.
    it("aligns series on common x values and keeps repeated points", () => {
        const points = [1, 1, 2].map((nodes, index) => point(nodes === 1 ? "a" : "b", { nodes }, index));
        const plot = createPlots(points)[0]!;
        expect(plot.kind === "line" && plotData(plot).data).to.deep.equal([
            [1, 1, 2],
            [0, 1, undefined],
            [undefined, undefined, 2],
        ]);
    });

    // Guards against axes without a unit.
    it("takes the unit of an axis from the name", () => {
        const names = [
            "firstTokenP95Ms",
            "bytesPerSecond",
            "bytesPerSecondPerNode",
            "residentMiB",
            "cpuShare",
            "copiedMegabytes",
        ];
        expect(names.map(axisLabel)).to.deep.equal([
            "first token P95 (ms)",
            "bytes per second (bytes/s)",
            "bytes per second per node (bytes/s/node)",
            "resident (MiB)",
            "cpu (share)",
            "copied (MB)",
        ]);
    });

    // Guards against names in a result that end an element or run as script.
    it("escapes all text of a result", () => {
        const hostile = "</script><script>alert('\"&";
        const page = renderPage([result(hostile)], { styles: [], scripts: [] });
        const data = /<script type="application\/json">(.*?)<\/script>/.exec(page)?.[1] ?? "";
        expect(page).to.not.include("<script>");
        expect(page).to.include("&lt;/script&gt;&lt;script&gt;alert(&#39;&quot;&amp;");
        expect(JSON.parse(data).labels[0]).to.include(hostile);
    });

    // Guards against a page that needs the network or other files.
    it("refers to no other host or file", () => {
        const page = renderPage([result("x")], readPageAssets());
        const withoutComments = page.replace(/\/\*[^]*?\*\//g, "");
        expect(withoutComments).to.not.match(/https?:|\/\/[a-z0-9-]+\.[a-z]|@import|url\(|\bsrc=|\bimport\(|fetch\(/i);
        expect(withoutComments.match(/href="[^"]*"/g)).to.deep.equal(['href="data:,"']);
        expect(page).to.include("default-src 'none'").and.include("var uPlot=").and.include(".u-legend");
    });

    describe("command", () => {
        let folder: string;
        beforeEach(() => {
            folder = mkdtempSync(join(tmpdir(), "bench-report-"));
        });
        afterEach(() => rmSync(folder, { recursive: true }));

        // Guards against a page from half a result, and against messages that leave open which file is at fault.
        it("ends with 2 and names the file and the problem when the input is invalid", () => {
            const inputs = [
                ["missing.json", undefined, "ENOENT"],
                ["cut.json", '{"experiment": ', "not JSON"],
                ["other.json", JSON.stringify({ ...result("x"), seed: "1" }), "seed"],
            ] as const;
            for (const [name, text, problem] of inputs) {
                const file = join(folder, name);
                const errors: string[] = [];
                if (text !== undefined) {
                    writeFileSync(file, text);
                }
                expect(runReport([file], () => undefined, line => errors.push(line))).to.equal(2);
                expect(errors.join("\n")).to.include(file).and.include(problem);
            }
        });

        // Guards against a result that is refused because JSON stores NaN as null.
        it("writes a page although figures were not finite", () => {
            const [input, out] = [join(folder, "in.json"), join(folder, "out.html")];
            const points = [point("a", { nodes: 1 }, Number.NaN)];
            writeFileSync(input, JSON.stringify({ ...result("x"), points, targets: [] }));
            expect(runReport(["--out", out, input], () => undefined, () => undefined)).to.equal(0);
            expect(readFileSync(out, "utf8")).to.include("x, seed 7");
        });
    });
});
