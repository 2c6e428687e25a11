/** Returns a list that counts the reads of its elements, and the function that returns and resets the count. */
export function countReads<T extends object>(list: readonly T[]): { counted: readonly T[]; takeReads: () => number; } {
    let reads = 0;
    const counted = new Proxy(list, {
        get: (target, key, receiver) => {
            reads += typeof key === "string" && /^\d+$/.test(key) ? 1 : 0;
            return Reflect.get(target, key, receiver) as unknown;
        },
    });
    return {
        counted,
        takeReads: () => {
            const before = reads;
            reads = 0;
            return before;
        },
    };
}
