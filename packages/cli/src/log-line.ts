/** The value of a field of a key=value line as it is written. */
export function field(line: string, name: string): string | undefined {
    return new RegExp(`(?:^| )${name}=("[^"]*"|\\S*)`).exec(line)?.[1];
}

/** The same without the quotes that a value with spaces has. */
export function plainField(line: string, name: string): string | undefined {
    return field(line, name)?.replace(/^"|"$/g, "");
}
