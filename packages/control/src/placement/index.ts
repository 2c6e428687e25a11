/** Placement duty of the leader, which decides which instances run. */
export * from "./placement-duty.ts";
