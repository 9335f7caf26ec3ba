/**
 * Decides whether a request may be served, by the key that it carries.
 * @module
 */
import type { KeyTable } from "./key_table.ts";
import type { Workspace } from "./workspace.ts";

/** Why the key of a request is refused; for logs, callers are not told. */
export enum KeyRefusal {
  Missing = "no key",
  Several = "several keys",
  /** Empty, too long, or of an unknown scheme. */
  Malformed = "malformed key",
  Unknown = "unknown key",
  /** The configuration has it, but not for one workspace that can be used. */
  Unusable = "unusable key",
}

/** What a request carries as its key; undefined if it carries none. */
export type PresentedKey =
  | { readonly key: string }
  | { readonly refusal: KeyRefusal }
  | undefined;

/** Kinds of an {@link AccessDecision}. */
export enum AccessKind {
  /** No key is needed, and there is none. */
  Public = "public",
  Granted = "granted",
  Refused = "refused",
}

/** Whether a request may be served, and on behalf of which workspace. */
export type AccessDecision =
  | { readonly kind: AccessKind.Public }
  | { readonly kind: AccessKind.Granted; readonly workspace: Workspace }
  | { readonly kind: AccessKind.Refused; readonly reason: KeyRefusal };

const PUBLIC: AccessDecision = { kind: AccessKind.Public };

/**
 * Decides by the key of a request. A key that is presented must be valid, also where none
 * is needed.
 */
export function decideAccess(
  keys: KeyTable,
  req: { presented: PresentedKey; isPublic: boolean },
): AccessDecision {
  const { presented, isPublic } = req;
  if (presented === undefined) {
    return isPublic ? PUBLIC : refuse(KeyRefusal.Missing);
  }
  if ("refusal" in presented) return refuse(presented.refusal);
  const workspace = keys.find(presented.key);
  if (workspace !== undefined) return { kind: AccessKind.Granted, workspace };
  return refuse(
    keys.isUnusable(presented.key) ? KeyRefusal.Unusable : KeyRefusal.Unknown,
  );
}

function refuse(reason: KeyRefusal): AccessDecision {
  return { kind: AccessKind.Refused, reason };
}
