/**
 * Selects the workspaces and keys of a configuration that can be used. One that can't be
 * does not affect the others, and no request is served by its key.
 * @module
 */
import { MAX_NAME_LENGTH } from "@bitternfall/types";
import { fitsHeader, listHeaderTexts, toHeaderText } from "./header_text.ts";
import { MAX_KEY_LENGTH } from "./key_table.ts";
import type { Workspace } from "./workspace.ts";

/** Field of a {@link Workspace} that is not valid. */
export enum WorkspaceField {
  Name = "name",
  Keys = "keys",
}

/** One error, and where it is. Never contains a key. */
export interface WorkspaceIssue {
  /** Index of the workspace. */
  readonly workspace: number;
  readonly field: WorkspaceField;
  /** Index in the field. */
  readonly at?: number;
  readonly reason: string;
}

/** Result of {@link selectUsableWorkspaces}. */
export interface UsableWorkspaces {
  readonly workspaces: readonly Workspace[];
  /** Keys that belong to no workspace above, or to several; their callers are refused. */
  readonly unusableKeys: readonly string[];
  readonly issues: readonly WorkspaceIssue[];
}

/** Messages between VMs carry such a name with a prefix of a few letters. */
export const MAX_WORKSPACE_NAME_LENGTH = MAX_NAME_LENGTH - 16;
const ASCII_KEY_PATTERN = /^[\x21-\x7e]+$/;
/** A blank separates a key from what precedes it in its header. */
const BLANK_PATTERN = /\s/;

/**
 * Selects what can be used. A workspace needs a name that a header can carry and that no
 * workspace before it has; a key that several workspaces have belongs to none of them.
 */
export function selectUsableWorkspaces(
  candidates: readonly Workspace[],
): UsableWorkspaces {
  const issues: WorkspaceIssue[] = [];
  const unusableKeys = new Set<string>();
  const named = new Map<string, number>();
  const owners = new Map<string, number>();
  const selected = candidates.map((candidate, workspace) => {
    const { name } = candidate;
    const reason = checkName(name, named.get(toHeaderText(name)));
    if (reason !== undefined) {
      issues.push({ workspace, field: WorkspaceField.Name, reason });
    } else named.set(toHeaderText(name), workspace);
    const keys: string[] = [];
    for (const [at, key] of candidate.keys.entries()) {
      const owner = claimKey(key, { owners, workspace });
      const keyReason = checkKey(key, { owner, workspace });
      if (keyReason === undefined) keys.push(key);
      else {
        issues.push({
          workspace,
          field: WorkspaceField.Keys,
          at,
          reason: keyReason,
        });
        if (isKey(key)) unusableKeys.add(key);
      }
    }
    if (reason === undefined) return { ...candidate, keys };
    for (const key of keys) unusableKeys.add(key);
    return undefined;
  });
  const workspaces = selected.filter((workspace) => workspace !== undefined);
  return { ...separateKeys(workspaces, unusableKeys), issues };
}

/** Takes the keys from workspaces that a request can't tell from unusable ones. */
function separateKeys(
  workspaces: readonly Workspace[],
  unusableKeys: ReadonlySet<string>,
): Omit<UsableWorkspaces, "issues"> {
  if (unusableKeys.size === 0) return { workspaces, unusableKeys: [] };
  const texts = new Set([...unusableKeys].flatMap(listHeaderTexts));
  const isUsable = (key: string) =>
    !listHeaderTexts(key).some((text) => texts.has(text));
  const others = workspaces.flatMap(({ keys }) =>
    keys.filter((key) => !isUsable(key))
  );
  return {
    workspaces: workspaces.map((workspace) => ({
      ...workspace,
      keys: workspace.keys.filter(isUsable),
    })),
    unusableKeys: [...new Set([...unusableKeys, ...others])],
  };
}

function checkName(
  name: string,
  other: number | undefined,
): string | undefined {
  if (name === "") return "missing";
  if (name.length > MAX_WORKSPACE_NAME_LENGTH) {
    return `longer than ${MAX_WORKSPACE_NAME_LENGTH} characters`;
  }
  if (!fitsHeader(name)) return "not usable as the value of a header";
  return other === undefined ? undefined : `also the name of entry ${other}`;
}

/** Records the workspace of a key; returns the first one that has it. */
function claimKey(
  key: string,
  { owners, workspace }: { owners: Map<string, number>; workspace: number },
): number {
  let first = workspace;
  for (const text of listHeaderTexts(key)) {
    const owner = owners.get(text);
    if (owner === undefined) owners.set(text, workspace);
    else if (owner !== workspace) first = owner;
  }
  return first;
}

function checkKey(
  key: string,
  { owner, workspace }: { owner: number; workspace: number },
): string | undefined {
  if (key.length > MAX_KEY_LENGTH) {
    return `longer than ${MAX_KEY_LENGTH} characters`;
  }
  if (!isKey(key)) return "not usable as a key in a header";
  return owner === workspace ? undefined : `also a key of entry ${owner}`;
}

/** Whether a request can carry a text as its key. */
function isKey(text: string): boolean {
  if (text.length > MAX_KEY_LENGTH) return false;
  if (ASCII_KEY_PATTERN.test(text)) return true;
  return !BLANK_PATTERN.test(text) && fitsHeader(text);
}
