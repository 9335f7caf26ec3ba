/**
 * Cancels attempts on engines; retries each cancel until the engine acknowledges it.
 * @module
 */
import {
  type AttemptId,
  type EngineClient,
  EngineError,
} from "@bitternfall/engine";
import type { EventLog } from "@bitternfall/events";
import { monotonicNow, sleep } from "@bitternfall/types";

const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 500;
/** An engine that does not respond for this long no longer holds the attempt. */
const CANCEL_TIMEOUT_MS = 30_000;
/** A cancel that overtook its request finds nothing to cancel and is sent again after this. */
const SECOND_CANCEL_DELAY_MS = 300;

/** Sends cancels, and retries them until they are acknowledged. */
export class Canceller {
  readonly #log: EventLog;
  readonly #pending = new Map<string, Promise<void>>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Cancels one attempt on one engine; resolves once it is acknowledged or given up. */
  cancel(engine: EngineClient, id: AttemptId): Promise<void> {
    const key = `${engine.address} ${id.requestId}.${id.attempt}`;
    const pending = this.#pending.get(key);
    if (pending !== undefined) return pending;
    const cancellation = this.#retryUntilAcknowledged(engine, id).finally(() =>
      this.#pending.delete(key)
    );
    this.#pending.set(key, cancellation);
    return cancellation;
  }

  /** Resolves once the pending cancels have ended. */
  async whenIdle(): Promise<void> {
    await Promise.all(this.#pending.values());
  }

  async #retryUntilAcknowledged(
    engine: EngineClient,
    id: AttemptId,
  ): Promise<void> {
    const deadline = monotonicNow() + CANCEL_TIMEOUT_MS;
    let retryDelayMs = MIN_RETRY_DELAY_MS;
    while (monotonicNow() < deadline) {
      try {
        if (!await engine.cancel(id)) void this.#cancelAgain(engine, id);
        return;
      } catch (err) {
        // An engine that still refuses connections has stopped, and its attempts with it.
        if (
          err instanceof EngineError && err.detail.tag === "unreachable" &&
          retryDelayMs === MAX_RETRY_DELAY_MS
        ) return;
      }
      await sleep(retryDelayMs);
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
    this.#log.emit("cancelUnacknowledged", {
      engine: engine.address,
      requestId: id.requestId,
    });
  }

  async #cancelAgain(engine: EngineClient, id: AttemptId): Promise<void> {
    await sleep(SECOND_CANCEL_DELAY_MS);
    await engine.cancel(id).catch(() => {});
  }
}
