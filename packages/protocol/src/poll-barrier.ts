/**
 * Waits for the event loop to read all sockets. After a pause of the process a request and the close behind it both lie
 * in the caller's socket, and one turn of the event loop reads only the request.
 */
export class PollBarrier {
    private next: Promise<void> | undefined;

    /** Resolves once every socket has been read since the call. */
    passed(): Promise<void> {
        // Immediates run after the sockets have been read. The first may belong to the turn of the call, the second not.
        this.next ??= new Promise(resolve =>
            setImmediate(() => {
                this.next = undefined;
                setImmediate(resolve);
            })
        );
        return this.next;
    }
}
