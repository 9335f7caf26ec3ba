/**
 * Lets one of a VM's watches test an object API that does not answer, while the others
 * wait for the result. The platform prices each call, also those that it refuses.
 * @module
 */
import { sleep } from "@bitternfall/types";

/** Longest wait for another watch, whose failures may be of its own. */
const MAX_WAIT_MS = 5000;

/** Shared by all watches of a VM. */
export class OutageGate {
  readonly #maxWaitMs: number;
  /** The watch that tests the object API; undefined while calls succeed. */
  #prober: object | undefined;
  #opened = new AbortController();

  constructor({ maxWaitMs = MAX_WAIT_MS }: { maxWaitMs?: number } = {}) {
    this.#maxWaitMs = maxWaitMs;
  }

  /** Whether calls have failed since the last one that succeeded. */
  get isClosed(): boolean {
    return this.#prober !== undefined;
  }

  /** Whether `watch` has to wait while another one tests the object API. */
  blocks(watch: object): boolean {
    return this.isClosed && this.#prober !== watch;
  }

  /** Records that a call of `watch` was refused or got no answer. */
  onFailure(watch: object): void {
    this.#prober ??= watch;
  }

  /** Records that the object API has answered, which lets all watches call it. */
  onAnswered(): void {
    if (!this.isClosed) return;
    this.#prober = undefined;
    this.#opened.abort();
    this.#opened = new AbortController();
  }

  /**
   * Resolves when the object API has answered, when `signal` is aborted, or after the
   * longest wait.
   */
  async whenOpen(signal: AbortSignal): Promise<void> {
    const ended = AbortSignal.any([signal, this.#opened.signal]);
    await sleep(this.#maxWaitMs, ended);
  }
}
