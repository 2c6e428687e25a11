/**
 * Admission, fair shares, queues and concurrency limits.
 */
export {};
