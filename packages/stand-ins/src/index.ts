/**
 * Small fakes of engines, services, weight store, cloud API and instance list.
 */
export {};
