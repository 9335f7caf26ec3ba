/**
 * Model servers: prefill in order at a token rate, decode in batches whose events slow
 * down with each run, memory that grows with each event, and preemption when it is full.
 * @module
 */
import type { VirtualTime } from "./virtual_time.ts";

/** What servers are like. */
export interface ServerTraits {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  readonly prefillTokensPerMs: number;
  readonly prefillBaseMs: number;
  readonly stepMs: number;
  readonly stepMsPerRun: number;
}

/** One run at a decode server. */
export interface ModelRun {
  readonly promptTokens: number;
  readonly events: number;
  made: number;
  readonly onEvent: () => void;
  readonly onEnd: () => void;
}

/** Reads prompts one after the other. */
export class PrefillModel {
  readonly #time: VirtualTime;
  readonly #traits: ServerTraits;
  #busyUntil = 0;

  constructor(time: VirtualTime, traits: ServerTraits) {
    this.#time = time;
    this.#traits = traits;
  }

  prefill(tokens: number, done: () => void): void {
    const { prefillTokensPerMs, prefillBaseMs } = this.#traits;
    const now = this.#time.now();
    const startAt = Math.max(now, this.#busyUntil);
    const workMs = tokens / prefillTokensPerMs;
    this.#busyUntil = startAt + workMs;
    this.#time.schedule(startAt + workMs + prefillBaseMs - now, done);
  }
}

/** Makes events of all its runs in turn. */
export class DecodeModel {
  readonly #time: VirtualTime;
  readonly #traits: ServerTraits;
  readonly #runs: ModelRun[] = [];
  readonly #preempted: ModelRun[] = [];
  #isStepping = false;
  /** Prompt and output tokens that were read again after a preemption. */
  rereadTokens = 0;
  preemptions = 0;

  constructor(time: VirtualTime, traits: ServerTraits) {
    this.#time = time;
    this.#traits = traits;
  }

  /** Takes a run in; false when there is no slot or no memory for its prompt. */
  admit(run: ModelRun): boolean {
    const { slots, memoryTokens } = this.#traits;
    const isFull = this.#runs.length + this.#preempted.length >= slots ||
      this.#countTokens() + run.promptTokens > memoryTokens;
    if (isFull) return false;
    this.#runs.push(run);
    this.#step();
    return true;
  }

  #countTokens(): number {
    let tokens = 0;
    for (const run of this.#runs) {
      tokens += run.promptTokens + run.made * this.#traits.tokensPerEvent;
    }
    return tokens;
  }

  #step(): void {
    if (this.#isStepping || this.#runs.length === 0) return;
    this.#isStepping = true;
    const { stepMs, stepMsPerRun, tokensPerEvent } = this.#traits;
    const ms = tokensPerEvent *
      (stepMs + stepMsPerRun * this.#runs.length);
    this.#time.schedule(ms, () => this.#onStep());
  }

  #onStep(): void {
    this.#isStepping = false;
    for (const run of [...this.#runs]) {
      run.made++;
      run.onEvent();
      if (run.made < run.events) continue;
      this.#runs.splice(this.#runs.indexOf(run), 1);
      run.onEnd();
    }
    this.#preempt();
    this.#resume();
    this.#step();
  }

  #preempt(): void {
    while (this.#countTokens() > this.#traits.memoryTokens) {
      const newest = this.#runs.pop();
      if (newest === undefined) return;
      this.preemptions++;
      this.#preempted.push(newest);
    }
  }

  #resume(): void {
    const run = this.#preempted[0];
    if (run === undefined) return;
    const tokens = run.promptTokens + run.made * this.#traits.tokensPerEvent;
    if (this.#countTokens() + tokens > this.#traits.memoryTokens) return;
    this.#preempted.shift();
    this.rereadTokens += tokens;
    const ms = 2 * tokens / this.#traits.prefillTokensPerMs;
    this.#time.schedule(ms, () => {
      this.#runs.push(run);
      this.#step();
    });
  }
}
