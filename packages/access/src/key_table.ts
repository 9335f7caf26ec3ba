/**
 * Finds the workspace of a key.
 * @module
 */
import { Buffer } from "node:buffer";
import * as crypto from "node:crypto";
import { listHeaderTexts, toHeaderText } from "./header_text.ts";
import type { Workspace } from "./workspace.ts";

/** Longer keys are refused without hashing them; a configuration may not contain any. */
export const MAX_KEY_LENGTH = 16_384;
const DIGEST_ALGORITHM = "sha256";
const DIGEST_BYTES = 32;
const SALT_BYTES = 16;
/** At most half of the slots are taken, so that few are searched for a key. */
const SLOTS_PER_KEY = 2;
const MIN_SLOTS = 2;
/** Owner of the keys that belong to no usable workspace. */
const NO_OWNER = 0xffff_ffff;

/**
 * Keys of one configuration, as salted hashes. The position of a hash depends on a random
 * salt and hashes are compared in constant time, so response times reveal no key.
 */
export class KeyTable {
  readonly #salt = crypto.randomBytes(SALT_BYTES).toString("hex");
  /** Hash of the key that is looked up; reused, as a lookup is synchronous. */
  readonly #digest = Buffer.alloc(DIGEST_BYTES);
  readonly #workspaces: readonly Workspace[];
  /** By their names as values of headers. */
  readonly #byName = new Map<string, Workspace>();
  /** Hashes of all keys, one after the other. */
  readonly #digests: Uint8Array;
  /** Index of the workspace, by number of the key. */
  readonly #owners: Uint32Array;
  /** Number of the key plus one, 0 where free; open addressing with linear probing. */
  readonly #slots: Uint32Array;

  /** The workspaces must be valid, as `selectUsableWorkspaces` returns them. */
  constructor(
    workspaces: readonly Workspace[],
    { unusableKeys = [] }: { unusableKeys?: readonly string[] } = {},
  ) {
    // What is passed on with requests carries no keys.
    this.#workspaces = workspaces.map((entry) => ({ ...entry, keys: [] }));
    for (const workspace of this.#workspaces) {
      this.#byName.set(toHeaderText(workspace.name), workspace);
    }
    const owned = [
      ...workspaces.map(({ keys }, owner) => ({ owner, keys })),
      { owner: NO_OWNER, keys: unusableKeys },
    ].map(({ owner, keys }) => ({
      owner,
      texts: keys.flatMap(listHeaderTexts),
    }));
    let count = 0;
    for (const { texts } of owned) count += texts.length;
    let slotCount = MIN_SLOTS;
    while (slotCount < count * SLOTS_PER_KEY) slotCount *= 2;
    this.#digests = new Uint8Array(count * DIGEST_BYTES);
    this.#owners = new Uint32Array(count);
    this.#slots = new Uint32Array(slotCount);
    let number = 0;
    for (const { owner, texts } of owned) {
      for (const key of texts) this.#add(number++, { owner, key });
    }
  }

  /** Returns the workspace of a key, as its header has it, without the keys. */
  find(key: string): Workspace | undefined {
    const owner = this.#findOwner(key);
    return owner === undefined ? undefined : this.#workspaces[owner];
  }

  /** Whether a key belongs to a workspace that can't be used, or to several. */
  isUnusable(key: string): boolean {
    return this.#findOwner(key) === NO_OWNER;
  }

  #findOwner(key: string): number | undefined {
    if (key === "" || key.length > MAX_KEY_LENGTH) return undefined;
    const digest = this.#hash(key);
    let slot = this.#getFirstSlot(digest);
    for (;;) {
      const number = this.#slots[slot]! - 1;
      if (number < 0) return undefined;
      if (crypto.timingSafeEqual(this.#getDigest(number), digest)) {
        return this.#owners[number];
      }
      slot = this.#getNextSlot(slot);
    }
  }

  /** Returns the workspace of a name, as a header has it, without its keys. */
  findByName(name: string): Workspace | undefined {
    return this.#byName.get(name);
  }

  #add(number: number, { owner, key }: { owner: number; key: string }): void {
    const digest = this.#hash(key);
    this.#digests.set(digest, number * DIGEST_BYTES);
    this.#owners[number] = owner;
    let slot = this.#getFirstSlot(digest);
    while (this.#slots[slot] !== 0) slot = this.#getNextSlot(slot);
    this.#slots[slot] = number + 1;
  }

  /** Returns the hash of a key, which the next call overwrites. */
  #hash(key: string): Buffer {
    this.#digest.write(hashText(this.#salt + key), "hex");
    return this.#digest;
  }

  #getDigest(number: number): Uint8Array {
    const start = number * DIGEST_BYTES;
    return this.#digests.subarray(start, start + DIGEST_BYTES);
  }

  #getFirstSlot(digest: Buffer): number {
    return digest.readUInt32LE(0) & (this.#slots.length - 1);
  }

  #getNextSlot(slot: number): number {
    return (slot + 1) & (this.#slots.length - 1);
  }
}

/** Returns a hash as hexadecimal digits, by a function that is missing before Node 20.12. */
function hashText(text: string): string {
  // A fourth of the time of a hash object, which counts where a configuration is applied.
  if (typeof crypto.hash === "function") {
    return crypto.hash(DIGEST_ALGORITHM, text, "hex");
  }
  return crypto.createHash(DIGEST_ALGORITHM).update(text).digest("hex");
}
