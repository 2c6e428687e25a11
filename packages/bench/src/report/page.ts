import { axisLabel } from "./axis-label.ts";
import { escapeHtml, scriptJson } from "./escape.ts";
import type { PageAssets } from "./page-assets.ts";
import { plotData } from "./plot-data.ts";
import type { BarPlot, LinePlot, Plot } from "./plots.ts";
import { createPlots } from "./plots.ts";
import type { StoredResult } from "./result-file.ts";

/** Refuses every request, also one that a later change of the page adds by mistake. */
const contentSecurityPolicy =
    "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; img-src data:";

function formatValue(value: string | number | boolean | undefined): string {
    const text = typeof value === "number" ? String(Number(value.toPrecision(6))) : String(value ?? "not measured");
    return escapeHtml(text);
}

function renderSettings(result: StoredResult): string {
    const entries = [["seed", result.seed] as const, ...Object.entries(result.settings)];
    const items = entries.map(([key, value]) => `<div><dt>${escapeHtml(key)}</dt><dd>${formatValue(value)}</dd></div>`);
    return `<dl>${items.join("\n")}</dl>`;
}

function renderTargets(targets: StoredResult["targets"]): string {
    if (targets.length === 0) {
        return "<p>No targets.</p>";
    }
    const rows = targets.map(({ name, goal, measured, met }) => {
        const outcome = met ? "met" : "missed";
        const cells = `<td>${escapeHtml(name)}</td><td>${escapeHtml(goal)}</td><td>${formatValue(measured)}</td>`;
        return `<tr>${cells}<td class="${outcome}">${outcome}</td></tr>`;
    });
    const head = "<tr><th>Target</th><th>Goal</th><th>Measured</th><th>Outcome</th></tr>";
    return `<table><thead>${head}</thead><tbody>\n${rows.join("\n")}\n</tbody></table>`;
}

function renderLinePlot(plot: LinePlot): string {
    const title = `${escapeHtml(axisLabel(plot.figure))} by ${escapeHtml(axisLabel(plot.x))}`;
    const data = scriptJson(plotData(plot));
    return `<h3>${title}</h3>\n<div class="line-plot"><script type="application/json">${data}</script></div>`;
}

function renderBarPlot({ figure, bars }: BarPlot): string {
    const largest = Math.max(...bars.map(({ value }) => Math.abs(value)));
    const rows = bars.map(({ label, value }) => {
        const percent = largest === 0 ? 0 : Math.abs(value) / largest * 100;
        const text = `<span>${escapeHtml(label)}</span><span>${formatValue(value)}</span>`;
        return `<div class="bar-label">${text}</div><div class="bar" style="width: ${percent.toFixed(2)}%"></div>`;
    });
    return `<h3>${escapeHtml(axisLabel(figure))}</h3>\n<div class="bar-plot">\n${rows.join("\n")}\n</div>`;
}

function renderPlot(plot: Plot): string {
    return plot.kind === "line" ? renderLinePlot(plot) : renderBarPlot(plot);
}

function renderResult(result: StoredResult): string {
    return [
        "<section>",
        `<h2>${escapeHtml(result.experiment)}, seed ${result.seed}</h2>`,
        renderSettings(result),
        renderTargets(result.targets),
        ...createPlots(result.points).map(renderPlot),
        "</section>",
    ].join("\n");
}

/** Renders results, in the given order, as one page that needs no other file. */
export function renderPage(results: readonly StoredResult[], assets: PageAssets): string {
    return `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="Content-Security-Policy" content="${contentSecurityPolicy}">
<link rel="icon" href="data:,">
<title>Results of experiments</title>
<style>${assets.styles.join("\n")}</style>
</head>
<body>
<h1>Results of experiments</h1>
${results.map(renderResult).join("\n")}
${assets.scripts.map(script => `<script>${script}</script>`).join("\n")}
</body>
</html>
`;
}
