/**
 * Shapes of the journal: entries, batches and segments as they stand in the object API.
 * @module
 */
import type { Incarnation } from "@bitternfall/types";
import * as zod from "zod";

/** A claim of a key, written before its call is sent. */
export interface ClaimEntry {
  readonly kind: "claim";
  readonly key: string;
  /** Fingerprint of the request; a repeat with another one is refused. */
  readonly fingerprint: string;
  readonly claimId: string;
  readonly vm: string;
  readonly incarnation: Incarnation;
}

/** The settlement of a claim. */
export interface SettleEntry {
  readonly kind: "settle";
  readonly key: string;
  readonly claimId: string;
  readonly result: "done" | "not-run" | "unknown";
  /** HTTP status of the answer. */
  readonly status: number;
  /** The answer, in the form that the caller of the journal chose. */
  readonly answer: string;
}

/** A new home took the shard over. */
export interface TakeoverEntry {
  readonly kind: "takeover";
  readonly vm: string;
}

/** Any journal entry. */
export type JournalEntry = ClaimEntry | SettleEntry | TakeoverEntry;

/** Entries that were committed together. */
export interface Batch {
  /** Looked for when the reply to the write was lost. */
  readonly id: string;
  /** Wall-clock milliseconds since the epoch. */
  readonly at: number;
  readonly entries: readonly JournalEntry[];
}

/** Value of a segment object. */
export interface Segment {
  readonly batches: readonly Batch[];
  /** The chain goes on in the next segment; set by the update that filled this one. */
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

/** Schema of a segment object. */
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

/** What is known of a key. */
export interface KeyState {
  readonly fingerprint: string;
  readonly claimId: string;
  readonly vm: string;
  readonly incarnation: Incarnation;
  readonly result: "claimed" | "done" | "not-run" | "unknown";
  readonly status: number;
  /** Undefined once dropped from memory; the segment still has it. */
  answer: string | undefined;
  /** Number of the segment that holds the answer. */
  readonly segment: number;
  readonly at: number;
}

/** Answer to a claim. */
export type ClaimOutcome =
  | { readonly kind: "claimed" }
  | { readonly kind: "done"; readonly status: number; readonly answer: string }
  | {
    readonly kind: "running";
    readonly vm: string;
    readonly incarnation: Incarnation;
    readonly claimId: string;
  }
  /** It may have run: its VM died or never got a reply. */
  | { readonly kind: "unknown" }
  /** The key was used with another request. */
  | { readonly kind: "mismatch" }
  /** The claim could not be committed and must not run. */
  | { readonly kind: "unavailable" };

/** A request to claim a key. */
export interface ClaimRequest {
  readonly key: string;
  readonly fingerprint: string;
  readonly claimId: string;
  readonly vm: string;
  readonly incarnation: Incarnation;
}
