/**
 * Types of the journal: entries, batches and segments as stored in the object API.
 * @module
 */
import type { Incarnation } from "@bitternfall/types";
import * as zod from "zod";

/** A claim of a key, stored before its call is sent. */
export interface ClaimEntry {
  readonly kind: "claim";
  readonly key: string;
  /** Fingerprint of the request; the key can't be used with a different one. */
  readonly fingerprint: string;
  readonly claimId: string;
  readonly vm: string;
  readonly incarnation: Incarnation;
}

/** The settlement of a claim: the result of its call. */
export interface SettleEntry {
  readonly kind: "settle";
  readonly key: string;
  readonly claimId: string;
  readonly result: "done" | "not-run" | "unknown";
  /** HTTP status of the answer. */
  readonly status: number;
  /** The answer, in an encoding that the user of the journal chooses. */
  readonly answer: string;
}

/** A VM became the new home of the shard. */
export interface TakeoverEntry {
  readonly kind: "takeover";
  readonly vm: string;
}

/** Any journal entry. */
export type JournalEntry = ClaimEntry | SettleEntry | TakeoverEntry;

/** Entries that are committed in one write. */
export interface Batch {
  /** Identifies the batch when the segment is read back after a lost reply. */
  readonly id: string;
  /** Time of the write in milliseconds since the epoch, by the writer's system clock. */
  readonly at: number;
  readonly entries: readonly JournalEntry[];
}

/** Value of a segment object. */
export interface Segment {
  readonly batches: readonly Batch[];
  /** Set by the update that filled this segment: the log continues in the next one. */
  readonly closed: boolean;
}

const entrySchema = zod.discriminatedUnion("kind", [
  zod.object({
    kind: zod.literal("claim"),
    key: zod.string(),
    fingerprint: zod.string(),
    claimId: zod.string(),
    vm: zod.string(),
    incarnation: zod.number(),
  }),
  zod.object({
    kind: zod.literal("settle"),
    key: zod.string(),
    claimId: zod.string(),
    result: zod.enum(["done", "not-run", "unknown"]),
    status: zod.number(),
    answer: zod.string(),
  }),
  zod.object({ kind: zod.literal("takeover"), vm: zod.string() }),
]);

/** Schema of the value of a segment object. */
export const segmentSchema = zod.object({
  batches: zod.array(
    zod.object({
      id: zod.string(),
      at: zod.number(),
      entries: zod.array(entrySchema),
    }),
  ),
  closed: zod.boolean(),
});

/** State of a key in the index of its shard. */
export interface KeyState {
  readonly fingerprint: string;
  readonly claimId: string;
  readonly vm: string;
  readonly incarnation: Incarnation;
  readonly result: "claimed" | "done" | "not-run" | "unknown";
  readonly status: number;
  /** Undefined when not kept in memory; it can then be read from its segment. */
  answer: string | undefined;
  /** Number of the segment with the key's last entry, which holds the answer once settled. */
  readonly segment: number;
  /** {@link Batch.at} of the key's last entry; retention counts from it. */
  readonly at: number;
}

/** Result of a request to claim a key. */
export type ClaimOutcome =
  | { readonly kind: "claimed" }
  | { readonly kind: "done"; readonly status: number; readonly answer: string }
  | {
    readonly kind: "running";
    readonly vm: string;
    readonly incarnation: Incarnation;
    readonly claimId: string;
  }
  /** The call may have run: its VM died or received no reply. */
  | { readonly kind: "unknown" }
  /** The key was used with a different request. */
  | { readonly kind: "mismatch" }
  /** The claim could not be committed; the call must not be sent. */
  | { readonly kind: "unavailable" };

/** A request to claim a key. */
export interface ClaimRequest {
  readonly key: string;
  readonly fingerprint: string;
  readonly claimId: string;
  readonly vm: string;
  readonly incarnation: Incarnation;
}
