/** Base class of all errors of this package. */
export class JournalError extends Error {
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}

/** Signals that the disk is full. Nothing was accepted, and the same write can succeed later. */
export class DiskFullError extends JournalError {
    constructor(readonly file: string, cause: unknown) {
        super(`disk is full, cannot write ${file}; writes are accepted again when space is free`, { cause });
    }
}

/** Signals that a write or sync failed. The content on disk is unknown, so writes are refused until a restart. */
export class RestartRequiredError extends JournalError {
    constructor(readonly file: string, cause: unknown) {
        super(`${file}: ${String(cause)}; writes are refused, check the disk and restart the process`, { cause });
    }
}

/** Signals that synced data is missing or does not match its checksum. */
export class CorruptionError extends JournalError {
    constructor(readonly file: string, readonly offset: number, reason: string) {
        super(
            `${file} is corrupt at offset ${offset}: ${reason}; `
                + "remove the data folder and restart, so that the process rejoins with a new identity",
        );
    }
}

export class NewerFormatError extends JournalError {
    constructor(readonly file: string, readonly foundVersion: number, readonly supportedVersion: number) {
        super(
            `${file} has format version ${foundVersion}, expected up to ${supportedVersion}; start a newer version`,
        );
    }
}

export class FolderLockedError extends JournalError {
    constructor(readonly folder: string, readonly pid: number) {
        super(`${folder} is in use by process ${pid}; stop that process first`);
    }
}

/**
 * Signals that a folder contains files but no identity. A new identity beside old records would violate the rules of
 * the claim protocol.
 */
export class IncompleteFolderError extends JournalError {
    constructor(readonly folder: string, names: readonly string[]) {
        super(
            `${folder} contains ${names.join(", ")} but no folder.json; configure an empty folder or remove this one`,
        );
    }
}

export class RecordTooLargeError extends JournalError {
    constructor(readonly bytes: number, readonly limit: number) {
        super(`record of ${bytes} bytes exceeds the limit of ${limit} bytes`);
    }
}

export class ClosedError extends JournalError {
    constructor(readonly file: string) {
        super(`${file} is closed`);
    }
}
