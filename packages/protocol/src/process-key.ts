import { createHash, createHmac, timingSafeEqual } from "node:crypto";
import { readFileSync } from "node:fs";

const minKeyLength = 16;

/** Thrown when the key file cannot be read or the key is too short. The message never contains the key. */
export class ProcessKeyError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "ProcessKeyError";
    }
}

/** Shared secret that authenticates calls by operators and by processes. It is never logged or dumped. */
export class ProcessKey {
    readonly #secret: string;
    readonly #digest: Buffer;

    constructor(secret: string) {
        this.#secret = secret;
        this.#digest = createHash("sha256").update(secret).digest();
    }

    /** Reads the key from a file, without surrounding white space. Throws a ProcessKeyError. */
    static read(file: string): ProcessKey {
        let secret: string;
        try {
            secret = readFileSync(file, "utf8").trim();
        }
        catch (err) {
            throw new ProcessKeyError(
                `key file ${file} cannot be read: ${(err as NodeJS.ErrnoException).code ?? "error"}`,
            );
        }
        if (secret.length < minKeyLength) {
            throw new ProcessKeyError(`key file ${file} must hold at least ${minKeyLength} characters`);
        }
        return new ProcessKey(secret);
    }

    /** Returns the value of the `authorization` header for an outgoing call. */
    authorization(): string {
        return `Bearer ${this.#secret}`;
    }

    /** Whether the `authorization` header of an incoming call holds this key; compares in constant time. */
    matches(authorization: string | undefined): boolean {
        const presented = /^Bearer (.+)$/.exec(authorization ?? "")?.[1] ?? "";
        return timingSafeEqual(createHash("sha256").update(presented).digest(), this.#digest);
    }

    /** Derives a key for another purpose, so that an authentication tag on a datagram does not expose the secret. */
    derive(purpose: string): Buffer {
        return createHmac("sha256", this.#secret).update(purpose).digest();
    }

    toJSON(): string {
        return "[redacted]";
    }
}
