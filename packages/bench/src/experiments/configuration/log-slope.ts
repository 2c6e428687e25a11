/** Slope of the logarithm of a figure against the logarithm of the number of nodes, by least squares. */
export function logSlope(points: readonly { nodes: number; value: number; }[]): number {
    const xs = points.map(({ nodes }) => Math.log(nodes));
    const ys = points.map(({ value }) => Math.log(value));
    const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const [meanX, meanY] = [mean(xs), mean(ys)];
    const covariance = xs.reduce((sum, x, i) => sum + (x - meanX) * ((ys[i] ?? 0) - meanY), 0);
    return covariance / xs.reduce((sum, x) => sum + (x - meanX) ** 2, 0);
}
