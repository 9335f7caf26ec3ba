/**
 * Simulates prefill servers, which process prompts in order at a fixed token rate, and
 * decode servers with continuous batching: each run slows the steps down and holds more
 * memory with each event, and full memory preempts the newest run.
 * @module
 */
import { PREFILL_ON_DECODE_SLOWDOWN } from "@bitternfall/dispatch";
import type { VirtualTime } from "./virtual_time.ts";

/** Capacity and speed of the simulated servers. */
export interface ServerTraits {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  readonly prefillTokensPerMs: number;
  readonly prefillBaseMs: number;
  readonly stepMs: number;
  readonly stepMsPerRun: number;
}

/** A request in the batch of a decode server. */
export interface DecodeRun {
  readonly promptTokens: number;
  /** Events until the run ends. */
  readonly events: number;
  producedEvents: number;
  /** Less urgent runs, whose rank is higher, are preempted first; 0 when absent. */
  readonly rank?: number;
  /** Whether the server still has to prefill the prompt itself. */
  needsPrefill?: boolean;
  readonly onEvent: () => void;
  readonly onEnd: () => void;
}

/**
 * A prefill server, which processes one prompt at a time. The base time of a prefill delays
 * its end but does not occupy the server.
 */
export class PrefillModel {
  readonly #clock: VirtualTime;
  readonly #traits: ServerTraits;
  #busyUntil = 0;

  constructor(clock: VirtualTime, traits: ServerTraits) {
    this.#clock = clock;
    this.#traits = traits;
  }

  prefill(tokens: number, onPrefilled: () => void): void {
    const { prefillTokensPerMs, prefillBaseMs } = this.#traits;
    const now = this.#clock.now();
    const startAt = Math.max(now, this.#busyUntil);
    const workMs = tokens / prefillTokensPerMs;
    this.#busyUntil = startAt + workMs;
    this.#clock.schedule(startAt + workMs + prefillBaseMs - now, onPrefilled);
  }
}

/**
 * A decode server; each step produces one event of each run in the batch, and takes longer
 * by the prompts that the server prefills itself during the step.
 */
export class DecodeModel {
  readonly #clock: VirtualTime;
  readonly #traits: ServerTraits;
  readonly #runs: DecodeRun[] = [];
  readonly #preempted: DecodeRun[] = [];
  #isStepping = false;
  /** Prompt and output tokens that were prefilled again after a preemption. */
  recomputedTokens = 0;
  preemptions = 0;

  constructor(clock: VirtualTime, traits: ServerTraits) {
    this.#clock = clock;
    this.#traits = traits;
  }

  /** Adds a run to the batch; returns false if no slot or no memory for its prompt is free. */
  admit(run: DecodeRun): boolean {
    const { slots, memoryTokens } = this.#traits;
    const isFull = this.#runs.length + this.#preempted.length >= slots ||
      this.#countHeldTokens() + run.promptTokens > memoryTokens;
    if (isFull) return false;
    this.#runs.push(run);
    this.#step();
    return true;
  }

  #countHeldTokens(): number {
    let tokens = 0;
    for (const run of this.#runs) {
      tokens += run.promptTokens +
        run.producedEvents * this.#traits.tokensPerEvent;
    }
    return tokens;
  }

  #step(): void {
    if (this.#isStepping || this.#runs.length === 0) return;
    this.#isStepping = true;
    const { stepMs, stepMsPerRun, tokensPerEvent } = this.#traits;
    const stepDurationMs = this.#prefillWaiting() +
      tokensPerEvent * (stepMs + stepMsPerRun * this.#runs.length);
    this.#clock.schedule(stepDurationMs, () => this.#onStep());
  }

  /** Starts the prefill of all prompts that need it; returns how long that takes. */
  #prefillWaiting(): number {
    let tokens = 0;
    for (const run of this.#runs) {
      if (run.needsPrefill) tokens += run.promptTokens;
      run.needsPrefill = false;
    }
    return this.#getPrefillMs(tokens);
  }

  #getPrefillMs(tokens: number): number {
    return PREFILL_ON_DECODE_SLOWDOWN * tokens /
      this.#traits.prefillTokensPerMs;
  }

  #onStep(): void {
    this.#isStepping = false;
    for (const run of [...this.#runs]) {
      run.producedEvents++;
      run.onEvent();
      if (run.producedEvents < run.events) continue;
      this.#runs.splice(this.#runs.indexOf(run), 1);
      run.onEnd();
    }
    this.#preempt();
    this.#resume();
    this.#step();
  }

  #preempt(): void {
    while (this.#countHeldTokens() > this.#traits.memoryTokens) {
      const newest = this.#takeLeastUrgent();
      if (newest === undefined) return;
      this.preemptions++;
      this.#preempted.push(newest);
    }
  }

  /** Removes the newest of the least urgent runs. */
  #takeLeastUrgent(): DecodeRun | undefined {
    const rank = Math.max(...this.#runs.map((run) => run.rank ?? 0));
    const index = this.#runs.findLastIndex((run) => (run.rank ?? 0) === rank);
    return this.#runs.splice(index, 1)[0];
  }

  #resume(): void {
    const run = this.#preempted[0];
    if (run === undefined) return;
    const tokens = run.promptTokens +
      run.producedEvents * this.#traits.tokensPerEvent;
    if (this.#countHeldTokens() + tokens > this.#traits.memoryTokens) return;
    this.#preempted.shift();
    this.recomputedTokens += tokens;
    this.#clock.schedule(this.#getPrefillMs(tokens), () => {
      this.#runs.push(run);
      this.#step();
    });
  }
}
