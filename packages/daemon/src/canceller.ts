/**
 * Cancels attempts on engines and repeats each cancel until it is acknowledged.
 * @module
 */
import {
  type AttemptId,
  type EngineClient,
  EngineError,
} from "@bitternfall/engine";
import type { EventLog } from "@bitternfall/events";
import { monotonicNow, sleep } from "@bitternfall/types";

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 500;
/** An engine that has not answered for this long has lost the work itself. */
const GIVE_UP_MS = 30_000;
/** A cancel may overtake the request it is meant for. */
const SECOND_LOOK_MS = 300;

/** Repeats cancels until they are acknowledged. */
export class Canceller {
  readonly #log: EventLog;
  readonly #running = new Map<string, Promise<void>>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Cancels one attempt on one engine; resolves once that is acknowledged. */
  cancel(engine: EngineClient, id: AttemptId): Promise<void> {
    const key = `${engine.address} ${id.requestId}.${id.attempt}`;
    const known = this.#running.get(key);
    if (known !== undefined) return known;
    const running = this.#repeat(engine, id).finally(() =>
      this.#running.delete(key)
    );
    this.#running.set(key, running);
    return running;
  }

  /** Resolves once no cancel is under way. */
  async whenIdle(): Promise<void> {
    await Promise.all(this.#running.values());
  }

  async #repeat(engine: EngineClient, id: AttemptId): Promise<void> {
    const end = monotonicNow() + GIVE_UP_MS;
    let pauseMs = FIRST_PAUSE_MS;
    while (monotonicNow() < end) {
      try {
        if (!await engine.cancel(id)) void this.#lookAgain(engine, id);
        return;
      } catch (err) {
        // An engine that refuses connections is gone, and its memory with it.
        if (
          err instanceof EngineError && err.detail.tag === "unreachable" &&
          pauseMs === LONGEST_PAUSE_MS
        ) return;
      }
      await sleep(pauseMs);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
    this.#log.emit("cancelUnacknowledged", {
      engine: engine.address,
      requestId: id.requestId,
    });
  }

  async #lookAgain(engine: EngineClient, id: AttemptId): Promise<void> {
    await sleep(SECOND_LOOK_MS);
    await engine.cancel(id).catch(() => {});
  }
}
