/** Units that end the names of figures and settings, by suffix. */
const units: readonly (readonly [suffix: RegExp, unit: string])[] = [
    [/Ms$/, "ms"],
    [/Seconds$/, "s"],
    [/KiB$/, "KiB"],
    [/MiB$/, "MiB"],
    [/Megabytes$/, "MB"],
    [/[Pp]ercent$/, "%"],
    [/(^|(?<=[a-z0-9]))[Bb]ytes$/, "bytes"],
    [/(?<=[a-z0-9])Share$/, "share"],
    [/(?<=[a-z0-9])Ratio$/, "ratio"],
];

function words(name: string): string {
    return name
        .replace(/([a-z0-9])([A-Z])/g, "$1 $2")
        .replaceAll("-", " ")
        .replace(/[A-Z][a-z]*/g, word => word.length > 1 || word === "A" ? word.toLowerCase() : word)
        .trim();
}

/** Turns `bytesPerSecond` into `bytes/s` and `diskBytesPerRecord` into `bytes/record`. */
function rateUnit(name: string): string | undefined {
    const [, quantity, per] = /([A-Za-z][a-z]*)Per([A-Z][A-Za-z]*)$/.exec(name) ?? [];
    if (quantity === undefined || per === undefined) {
        return undefined;
    }
    const divisors = per.split(/Per(?=[A-Z])/).map(unit => unit === "Second" ? "s" : words(unit));
    return [quantity.toLowerCase(), ...divisors].join("/");
}

/** Label of an axis: the name in words, then the unit that the name ends with, if any. */
export function axisLabel(name: string): string {
    const rate = rateUnit(name);
    if (rate !== undefined) {
        return `${words(name)} (${rate})`;
    }
    for (const [suffix, unit] of units) {
        if (suffix.test(name)) {
            return `${words(name.replace(suffix, "")) || words(name)} (${unit})`;
        }
    }
    return words(name);
}
