/** Placement: the duty of the leader that decides which instances to hold. */
export * from "./placement-duty.ts";
