/** Straight line through measured points, by least squares. */
export interface LinearFit {
    slope: number;
    intercept: number;
    /** Standard error of the slope. */
    slopeError: number;
}

/** Fits a line through at least three points with different `x`. */
export function fitLine(points: readonly { x: number; y: number; }[]): LinearFit {
    const n = points.length;
    const meanX = points.reduce((sum, { x }) => sum + x, 0) / n;
    const meanY = points.reduce((sum, { y }) => sum + y, 0) / n;
    const sxx = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const slope = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / sxx;
    const intercept = meanY - slope * meanX;
    const residual = points.reduce((sum, { x, y }) => sum + (y - intercept - slope * x) ** 2, 0);
    return { slope, intercept, slopeError: Math.sqrt(residual / Math.max(1, n - 2) / sxx) };
}
