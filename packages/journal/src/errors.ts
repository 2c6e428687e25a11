/** Base of all errors of this package. */
export class JournalError extends Error {
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}

/** There is no room. Nothing was accepted; the same write can succeed later. */
export class DiskFullError extends JournalError {
    constructor(readonly file: string, cause: unknown) {
        super(`no room to write ${file}; writes are accepted again when there is room`, { cause });
    }
}

/** A write or sync failed, so the content of the file on disk is not known. Writes are refused until a restart. */
export class RestartRequiredError extends JournalError {
    constructor(readonly file: string, cause: unknown) {
        super(`${file}: ${String(cause)}; writes are refused, check the disk and restart the process`, { cause });
    }
}

/** Synced data does not match its checksum or is missing. */
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
            `${file} has format version ${foundVersion}, this program supports up to ${supportedVersion}; start a newer version`,
        );
    }
}

export class FolderLockedError extends JournalError {
    constructor(readonly folder: string, readonly pid: number) {
        super(`${folder} is in use by process ${pid}; stop that process first`);
    }
}

/** The folder holds files, but no identity. A new identity beside old records would break the claim rules. */
export class IncompleteFolderError extends JournalError {
    constructor(readonly folder: string, names: readonly string[]) {
        super(`${folder} holds ${names.join(", ")} but no folder.json; name an empty folder or remove this one`);
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
