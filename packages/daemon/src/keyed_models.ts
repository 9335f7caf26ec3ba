/**
 * Repeats of keyed model requests: while the first run or its answer is held in memory
 * anywhere in the cell, a repeat joins it, so that one caller gets one answer.
 * @module
 */
import {
  type CallContext,
  type ModelRequest,
  sendJson,
} from "@bitternfall/caller";
import { Refusal } from "@bitternfall/errors";
import type { Membership } from "@bitternfall/membership";
import type { PeerMesh } from "@bitternfall/peer";
import { type CallerIdentity, monotonicNow, Outcome } from "@bitternfall/types";
import xxhash from "xxhash-wasm";
import * as zod from "zod";

const { h32 } = await xxhash();

/** Options of {@link KeyedModels}. */
export interface KeyedModelsOptions {
  readonly vmId: string;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
}

interface HeldRun {
  readonly fingerprint: string;
  /** The whole answer; undefined when the run failed. */
  readonly answer: Promise<string | undefined>;
  readonly startedAt: number;
  bytes: number;
}

interface Location {
  readonly fingerprint: string;
  readonly vm: string;
  readonly at: number;
}

const ROLES = 64;
const HOLD_MS = 600_000;
const MAX_HELD = 5000;
const MAX_HELD_BYTES = 16_000_000;
const MAX_LOCATIONS = 50_000;
const JOIN_TIMEOUT_MS = 180_000;
const MAX_MOVES = 3;

/** What came of a join. */
export type JoinResult = ["answer" | "mismatch" | "gone", string];

/** Runs that can be joined, and where in the cell they are. */
export class KeyedModels {
  readonly #options: KeyedModelsOptions;
  readonly #runs = new Map<string, HeldRun>();
  readonly #locations = new Map<string, Location>();
  #heldBytes = 0;

  constructor(options: KeyedModelsOptions) {
    this.#options = options;
  }

  /**
   * Runs a keyed request once: `run` produces the whole answer, or undefined when it
   * failed. Returns the answer of an earlier run instead where one is held.
   */
  async runOnce(
    key: string,
    options: { fingerprint: string; run: () => Promise<string | undefined> },
  ): Promise<{ joined: string | undefined }> {
    const { fingerprint, run } = options;
    for (let moves = 0; moves < MAX_MOVES; moves++) {
      const place = await this.#locate(key, fingerprint);
      if (place === "mismatch") throw mismatch();
      if (place === "here") {
        const held = this.#runs.get(key);
        if (held === undefined) {
          await this.#hold(key, { fingerprint, run });
          return { joined: undefined };
        }
        if (held.fingerprint !== fingerprint) throw mismatch();
        const answer = await held.answer;
        if (answer !== undefined) return { joined: answer };
        continue;
      }
      const [result, answer] = await this.#joinAt(place.vm, {
        key,
        fingerprint,
      });
      if (result === "mismatch") throw mismatch();
      if (result === "answer") return { joined: answer };
      this.#forgetLocation(key, place.vm);
    }
    throw new Refusal("upstream_failed", "the request with this key failed", {
      outcome: Outcome.Unknown,
    });
  }

  /** Answers a peer that asks where a key runs; an unknown key becomes the asker's. */
  locate(
    key: string,
    asker: { fingerprint: string; vm: string },
  ): ["yours" | "at" | "mismatch", string] {
    const known = this.#locations.get(key);
    const { membership, vmId } = this.#options;
    const stands = known !== undefined && monotonicNow() - known.at < HOLD_MS &&
      (known.vm === vmId || membership.isAlive(known.vm));
    if (stands && known.fingerprint !== asker.fingerprint) {
      return ["mismatch", ""];
    }
    if (stands && known.vm !== asker.vm) return ["at", known.vm];
    this.#locations.delete(key);
    this.#locations.set(key, {
      ...asker,
      at: known !== undefined && stands ? known.at : monotonicNow(),
    });
    if (this.#locations.size > MAX_LOCATIONS) {
      this.#locations.delete(this.#locations.keys().next().value!);
    }
    return ["yours", ""];
  }

  /** Joins a run held here. */
  async join(key: string, fingerprint: string): Promise<JoinResult> {
    const held = this.#runs.get(key);
    if (held === undefined) return ["gone", ""];
    if (held.fingerprint !== fingerprint) return ["mismatch", ""];
    const answer = await held.answer;
    return answer === undefined ? ["gone", ""] : ["answer", answer];
  }

  /** A run is over without an answer. */
  forget(key: string, vm: string): void {
    if (this.#locations.get(key)?.vm === vm) this.#locations.delete(key);
  }

  async #hold(
    key: string,
    options: { fingerprint: string; run: () => Promise<string | undefined> },
  ): Promise<void> {
    const running = options.run();
    const answer = running.catch(() => undefined);
    const held: HeldRun = {
      fingerprint: options.fingerprint,
      answer,
      startedAt: monotonicNow(),
      bytes: 0,
    };
    this.#runs.set(key, held);
    const text = await answer;
    if (text === undefined) {
      this.#runs.delete(key);
      this.#forgetLocation(key, this.#options.vmId);
    } else {
      held.bytes = text.length;
      this.#heldBytes += text.length;
      this.#evict();
    }
    await running;
  }

  #evict(): void {
    for (const [key, held] of this.#runs) {
      const expired = monotonicNow() - held.startedAt > HOLD_MS;
      if (
        !expired && this.#runs.size <= MAX_HELD &&
        this.#heldBytes <= MAX_HELD_BYTES
      ) return;
      if (held.bytes === 0) continue;
      this.#runs.delete(key);
      this.#heldBytes -= held.bytes;
    }
  }

  async #locate(
    key: string,
    fingerprint: string,
  ): Promise<"here" | "mismatch" | { vm: string }> {
    const { vmId, membership, mesh } = this.#options;
    const locator = membership.getOwner(getLocatorRole(key));
    if (this.#runs.has(key) || locator === undefined) return "here";
    let answer;
    if (locator === vmId) answer = this.locate(key, { fingerprint, vm: vmId });
    else {
      try {
        answer = await mesh.call(locator, "keyed.locate", {
          params: [key, fingerprint, vmId],
        });
      } catch {
        return "here";
      }
    }
    if (answer[0] === "mismatch") return "mismatch";
    return answer[0] === "yours" ? "here" : { vm: answer[1] };
  }

  async #joinAt(
    vm: string,
    run: { key: string; fingerprint: string },
  ): Promise<JoinResult> {
    const { vmId, mesh } = this.#options;
    if (vm === vmId) return await this.join(run.key, run.fingerprint);
    try {
      return await mesh.call(vm, "keyed.join", {
        params: [run.key, run.fingerprint],
        timeoutMs: JOIN_TIMEOUT_MS,
      });
    } catch {
      return ["gone", ""];
    }
  }

  #forgetLocation(key: string, vm: string): void {
    const { vmId, membership, mesh } = this.#options;
    const locator = membership.getOwner(getLocatorRole(key));
    if (locator === vmId) this.forget(key, vm);
    else if (locator !== undefined) {
      mesh.notify(locator, "keyed.forget", [key, vm]);
    }
  }
}

const wholeSchema = zod.object({
  id: zod.string().optional(),
  choices: zod.array(zod.object({
    message: zod.object({ content: zod.string() }).optional(),
    text: zod.string().optional(),
    finish_reason: zod.string().nullish(),
  })).min(1),
  usage: zod.unknown().optional(),
});

/** Gives a held answer to a caller, in the form that this caller asked for. */
export function sendHeldAnswer(
  req: ModelRequest,
  call: CallContext<CallerIdentity>,
  answer: string,
): void {
  if (!req.stream) return sendJson(call.res, answer);
  const { id, choices: [choice], usage } = wholeSchema.parse(
    JSON.parse(answer),
  );
  const content = choice?.message?.content ?? choice?.text ?? "";
  const isChat = req.shape === "chat";
  const object = isChat ? "chat.completion.chunk" : "text_completion";
  const body = isChat ? { delta: { content } } : { text: content };
  const data = {
    id,
    object,
    choices: [{
      index: 0,
      ...body,
      finish_reason: choice?.finish_reason ?? "stop",
    }],
    usage,
  };
  const { res } = call;
  if (res.destroyed) return;
  res.writeHead(200, {
    "content-type": "text/event-stream",
    "bitternfall-outcome": Outcome.Ran,
  });
  res.end(`data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`);
}

function getLocatorRole(key: string): string {
  return `keyed/${h32(key) % ROLES}`;
}

function mismatch(): Refusal {
  return new Refusal("key_reused", "this key was used with another request");
}
