/**
 * The demo: processes of one deployment with stand-ins.
 */
export {};
