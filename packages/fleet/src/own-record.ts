/**
 * Copies a record by names that others choose. A name that was not set is not found in the copy, even if all objects
 * have a property of that name, like `constructor`.
 */
export function ownRecord<T>(record: Readonly<Record<string, T>> = {}): Record<string, T> {
    // eslint-disable-next-line no-restricted-syntax -- Only null makes an object without a prototype.
    return Object.assign(Object.create(null) as Record<string, T>, record);
}
