const entities: Readonly<Record<string, string>> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    '"': "&quot;",
    "'": "&#39;",
};

/** Escapes text for element content and quoted attribute values. */
export function escapeHtml(text: string): string {
    return text.replace(/[&<>"']/g, character => entities[character] ?? character);
}

/** Serializes a value for a JSON script element; no string in it can end the element or open a comment. */
export function scriptJson(value: unknown): string {
    return JSON.stringify(value).replaceAll("<", "\\u003c");
}
