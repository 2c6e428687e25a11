/**
 * Demo that runs the processes of one deployment with stand-ins; `main.ts` is its entry point.
 */
export {};
