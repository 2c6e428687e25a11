// Runs in the browser, embedded in the page after uPlot.
(() => {
    const height = 300;
    const hues = [210, 25, 140, 330, 50, 275, 180, 0];
    const dashes = [[], [6, 4], [2, 3]];
    const dark = matchMedia("(prefers-color-scheme: dark)");
    const cssColor = name => getComputedStyle(document.documentElement).getPropertyValue(name);
    const seriesColor = index => `hsl(${hues[index % hues.length]} 75% ${dark.matches ? 65 : 40}%)`;
    // The colours are read at each drawing, because the colour scheme can change while the page is open.
    const axis = label => ({
        label,
        size: 64,
        stroke: () => cssColor("--text"),
        grid: { stroke: () => cssColor("--line"), width: 1 },
        ticks: { stroke: () => cssColor("--line"), width: 1 },
    });
    const fromZero = (_, low, high) => [Math.min(0, low * 1.05), high > 0 ? high * 1.05 : low < 0 ? 0 : 1];

    for (const element of document.querySelectorAll(".line-plot")) {
        const plot = JSON.parse(element.querySelector("script").textContent);
        const options = {
            width: element.clientWidth,
            height,
            scales: { x: { time: false }, y: { range: fromZero } },
            axes: [{ ...axis(plot.xLabel), size: 40 }, axis(plot.yLabel)],
            series: [
                { label: plot.xLabel },
                ...plot.labels.map((label, index) => ({
                    label,
                    stroke: () => seriesColor(index),
                    dash: dashes[Math.floor(index / hues.length) % dashes.length],
                    width: 2,
                    spanGaps: true,
                    points: { show: true, size: 6 },
                })),
            ],
        };
        const chart = new uPlot(options, plot.data, element);
        new ResizeObserver(() => chart.setSize({ width: element.clientWidth, height })).observe(element);
        dark.addEventListener("change", () => chart.redraw());
    }
})();
