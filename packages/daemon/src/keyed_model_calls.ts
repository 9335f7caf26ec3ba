/**
 * Retries of model requests with an idempotency key. While the first run, or its
 * completion, is in the memory of any VM of the cell, a retry joins it, so that both get
 * the same completion. Each key belongs to a locator role, whose owner records which VM
 * runs the key.
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

/** Options of {@link KeyedModelCalls}. */
export interface KeyedModelCallsOptions {
  readonly vmId: string;
  readonly membership: Membership;
  readonly mesh: PeerMesh;
}

interface JoinableRun {
  readonly fingerprint: string;
  /** The full completion as JSON; undefined if the run failed. */
  readonly completion: Promise<string | undefined>;
  readonly startedAt: number;
  /** Length of the completion; 0 while the run is in progress. */
  sizeChars: number;
}

/** The VM that runs a key, or has its completion. */
interface RunLocation {
  readonly fingerprint: string;
  readonly vm: string;
  readonly recordedAt: number;
}

const LOCATOR_ROLE_COUNT = 64;
const RUN_RETENTION_MS = 600_000;
const MAX_STORED_RUNS = 5000;
const MAX_STORED_CHARS = 16_000_000;
const MAX_LOCATIONS = 50_000;
const JOIN_TIMEOUT_MS = 180_000;
const MAX_LOCATE_ATTEMPTS = 3;

/** Result of a join, as sent between VMs; "gone" if the VM has no run or it failed. */
export type JoinResult = ["answer" | "mismatch" | "gone", string];

/**
 * Joinable runs of this VM, and the locations of the cell's runs for the keys whose
 * locator this VM is.
 */
export class KeyedModelCalls {
  readonly #options: KeyedModelCallsOptions;
  readonly #runs = new Map<string, JoinableRun>();
  readonly #locations = new Map<string, RunLocation>();
  #storedChars = 0;

  constructor(options: KeyedModelCallsOptions) {
    this.#options = options;
  }

  /**
   * Runs a keyed request once: `run` returns the full completion, or undefined if it
   * failed. If an earlier run can be joined, returns its completion instead.
   */
  async runOnce(
    key: string,
    options: { fingerprint: string; run: () => Promise<string | undefined> },
  ): Promise<{ joinedCompletion: string | undefined }> {
    const { fingerprint, run } = options;
    for (let attempt = 0; attempt < MAX_LOCATE_ATTEMPTS; attempt++) {
      const location = await this.#locate(key, fingerprint);
      if (location === "mismatch") throw createKeyReusedRefusal();
      if (location === "here") {
        const storedRun = this.#runs.get(key);
        if (storedRun === undefined) {
          await this.#startRun(key, { fingerprint, run });
          return { joinedCompletion: undefined };
        }
        if (storedRun.fingerprint !== fingerprint) {
          throw createKeyReusedRefusal();
        }
        const completion = await storedRun.completion;
        if (completion !== undefined) return { joinedCompletion: completion };
        continue;
      }
      const [result, completion] = await this.#joinAt(location.vm, {
        key,
        fingerprint,
      });
      if (result === "mismatch") throw createKeyReusedRefusal();
      if (result === "answer") return { joinedCompletion: completion };
      this.#discardLocation(key, location.vm);
    }
    throw new Refusal("upstream_failed", "the request with this key failed", {
      outcome: Outcome.Unknown,
    });
  }

  /** Returns where a key runs; an unknown key is assigned to the requester. */
  locate(
    key: string,
    requester: { fingerprint: string; vm: string },
  ): ["yours" | "at" | "mismatch", string] {
    const recorded = this.#locations.get(key);
    const { membership, vmId } = this.#options;
    const isCurrent = recorded !== undefined &&
      monotonicNow() - recorded.recordedAt < RUN_RETENTION_MS &&
      (recorded.vm === vmId || membership.isAlive(recorded.vm));
    if (isCurrent && recorded.fingerprint !== requester.fingerprint) {
      return ["mismatch", ""];
    }
    if (isCurrent && recorded.vm !== requester.vm) return ["at", recorded.vm];
    this.#locations.delete(key);
    this.#locations.set(key, {
      ...requester,
      recordedAt: recorded !== undefined && isCurrent
        ? recorded.recordedAt
        : monotonicNow(),
    });
    if (this.#locations.size > MAX_LOCATIONS) {
      this.#locations.delete(this.#locations.keys().next().value!);
    }
    return ["yours", ""];
  }

  /** Joins a run of this VM. */
  async join(key: string, fingerprint: string): Promise<JoinResult> {
    const storedRun = this.#runs.get(key);
    if (storedRun === undefined) return ["gone", ""];
    if (storedRun.fingerprint !== fingerprint) return ["mismatch", ""];
    const completion = await storedRun.completion;
    return completion === undefined ? ["gone", ""] : ["answer", completion];
  }

  /** Removes the location of a run that ended without a completion. */
  forgetLocation(key: string, vm: string): void {
    if (this.#locations.get(key)?.vm === vm) this.#locations.delete(key);
  }

  async #startRun(
    key: string,
    options: { fingerprint: string; run: () => Promise<string | undefined> },
  ): Promise<void> {
    const running = options.run();
    const completion = running.catch(() => undefined);
    const storedRun: JoinableRun = {
      fingerprint: options.fingerprint,
      completion,
      startedAt: monotonicNow(),
      sizeChars: 0,
    };
    this.#runs.set(key, storedRun);
    const text = await completion;
    if (text === undefined) {
      this.#runs.delete(key);
      this.#discardLocation(key, this.#options.vmId);
    } else {
      storedRun.sizeChars = text.length;
      this.#storedChars += text.length;
      this.#evictRuns();
    }
    await running;
  }

  #evictRuns(): void {
    for (const [key, storedRun] of this.#runs) {
      const isExpired = monotonicNow() - storedRun.startedAt > RUN_RETENTION_MS;
      if (
        !isExpired && this.#runs.size <= MAX_STORED_RUNS &&
        this.#storedChars <= MAX_STORED_CHARS
      ) return;
      if (storedRun.sizeChars === 0) continue;
      this.#runs.delete(key);
      this.#storedChars -= storedRun.sizeChars;
    }
  }

  async #locate(
    key: string,
    fingerprint: string,
  ): Promise<"here" | "mismatch" | { vm: string }> {
    const { vmId, membership, mesh } = this.#options;
    const locator = membership.getOwner(getLocatorRole(key));
    if (this.#runs.has(key) || locator === undefined) return "here";
    let result;
    if (locator === vmId) result = this.locate(key, { fingerprint, vm: vmId });
    else {
      try {
        result = await mesh.call(locator, "keyed.locate", {
          params: [key, fingerprint, vmId],
        });
      } catch {
        return "here";
      }
    }
    if (result[0] === "mismatch") return "mismatch";
    return result[0] === "yours" ? "here" : { vm: result[1] };
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

  /** Tells the key's locator that `vm` has no completion for it. */
  #discardLocation(key: string, vm: string): void {
    const { vmId, membership, mesh } = this.#options;
    const locator = membership.getOwner(getLocatorRole(key));
    if (locator === vmId) this.forgetLocation(key, vm);
    else if (locator !== undefined) {
      mesh.notify(locator, "keyed.forget", [key, vm]);
    }
  }
}

const completionSchema = zod.object({
  id: zod.string().optional(),
  choices: zod.array(zod.object({
    message: zod.object({ content: zod.string() }).optional(),
    text: zod.string().optional(),
    finish_reason: zod.string().nullish(),
  })).min(1),
  usage: zod.unknown().optional(),
});

/** Sends a stored completion in the form that this caller requested: stream or JSON. */
export function sendStoredCompletion(
  req: ModelRequest,
  call: CallContext<CallerIdentity>,
  completion: string,
): void {
  if (!req.stream) return sendJson(call.res, completion);
  const { id, choices: [choice], usage } = completionSchema.parse(
    JSON.parse(completion),
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
  return `keyed/${h32(key) % LOCATOR_ROLE_COUNT}`;
}

function createKeyReusedRefusal(): Refusal {
  return new Refusal("key_reused", "this key was used with another request");
}
