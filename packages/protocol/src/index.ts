/**
 * Messages and transport between the processes of the system.
 */
export {};
