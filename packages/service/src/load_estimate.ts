/**
 * Estimates how many calls a server has now, and how long one more would take there. A
 * server's load changes within the time of a call, and its reports are often older than
 * that: what a report says of the calls of others fades to their mean, while the calls that
 * are counted here are known exactly. What is known of a server's pace and of the time of
 * its calls is forgotten as well, so that a server which was slow is tried again.
 * @module
 */
import type { LoadReport } from "./server_state.ts";

/** Weight of the newest report in the mean of the calls of others. */
const REPORT_WEIGHT = 0.1;
/** Time for which the calls of others stay about the same, relative to that of a call. */
const FADING_CALLS = 2;
/** Time for which a reported pace holds: half of a slow spell of a shared machine. */
const PACE_FADING_MS = 300;
/** Time over which the paces of a server are averaged. */
const PACE_MEAN_MS = 5000;
/** A report stands for its pace for so long at most, whenever the one before came. */
const MAX_PACE_STEP_MS = 500;
/** Time after which a server without new calls is taken for a normal one. */
const FORGETTING_MS = 3000;
/**
 * Time over which the times of calls are averaged. Where a server names its pace, they show
 * only what the pace leaves out; else they have to follow its slow spells.
 */
const PACED_LEARNING_MS = 1000;
const UNPACED_LEARNING_MS = 200;
const MAX_CALL_WEIGHT = 0.1;
/** With this many calls, the times count as much as those of the other servers. */
const FEW_CALLS = 5;
/** Prefers the emptier one of two servers that both have a free slot. */
const EVENNESS = 0.1;

/** Circumstances of an estimate. */
export interface EstimateContext {
  readonly now: number;
  /** Time of a call at the other servers. */
  readonly usualMs: number;
}

/** The estimated load of one server. */
export class LoadEstimate {
  /** Calls of others according to the last report, and their mean over the reports. */
  #others = 0;
  #meanOthers = 0;
  #reportedAt = -Infinity;
  /** One until the server has said how many calls it runs at once. */
  #slots = 1;
  #pace = 1;
  #meanPace = 1;
  #reportsPace = false;
  /** Time of a call that does not wait, at the usual pace; 0 until one has ended. */
  #callMs = 0;
  #endedCalls = 0;
  #lastEndAt = 0;

  /** Whether the server names its pace. */
  get reportsPace(): boolean {
    return this.#reportsPace;
  }

  /** Time of a call that does not wait, at the usual pace; 0 until one has ended. */
  get callMs(): number {
    return this.#callMs;
  }

  /** Time since the last report; infinite without one. */
  getAgeMs(now: number): number {
    return now - this.#reportedAt;
  }

  /** How long work takes now, 1 is normal. */
  getPace(now: number): number {
    const ageMs = this.getAgeMs(now);
    const mean = 1 + (this.#meanPace - 1) * Math.exp(-ageMs / FORGETTING_MS);
    return mean + (this.#pace - mean) * Math.exp(-ageMs / PACE_FADING_MS);
  }

  /** Takes in a report, unless a newer one is known. */
  setReport(
    { running, slots, pace, ageMs = 0 }: LoadReport,
    { outstanding, now }: { outstanding: number; now: number },
  ): void {
    const reportedAt = now - ageMs;
    if (reportedAt < this.#reportedAt) return;
    const sinceMs = Math.min(MAX_PACE_STEP_MS, reportedAt - this.#reportedAt);
    const isFirst = this.#reportedAt === -Infinity;
    this.#others = Math.max(0, running - outstanding);
    this.#meanOthers += (isFirst ? 1 : REPORT_WEIGHT) *
      (this.#others - this.#meanOthers);
    this.#reportedAt = reportedAt;
    if (slots !== undefined && slots > 0) this.#slots = slots;
    this.#pace = pace ?? 1;
    this.#meanPace += (1 - Math.exp(-sinceMs / PACE_MEAN_MS)) *
      (this.#pace - this.#meanPace);
    this.#reportsPace = pace !== undefined;
  }

  /** Takes in the time of a call. */
  recordCall(
    ms: number,
    { now, callsAtStart = 1 }: { now: number; callsAtStart?: number },
  ): void {
    const callMs = ms / (this.#pace * this.#getWaitFactor(callsAtStart));
    const learningMs = this.#reportsPace
      ? PACED_LEARNING_MS
      : UNPACED_LEARNING_MS;
    const sinceShare = 1 - Math.exp((this.#lastEndAt - now) / learningMs);
    this.#endedCalls++;
    const weight = Math.max(
      1 / this.#endedCalls,
      Math.min(MAX_CALL_WEIGHT, sinceShare),
    );
    this.#callMs += weight * (callMs - this.#callMs);
    this.#lastEndAt = now;
  }

  /** Estimated number of calls at the server, and the variance of that number. */
  getCalls(
    outstanding: number,
    { now, usualMs }: EstimateContext,
  ): { mean: number; variance: number } {
    const fadingMs = FADING_CALLS * Math.max(1, usualMs) * this.getPace(now);
    const kept = Math.exp(-this.getAgeMs(now) / fadingMs);
    const others = this.#meanOthers + kept * (this.#others - this.#meanOthers);
    return {
      mean: outstanding + others,
      // As that of calls which arrive by chance, for the part that has faded.
      variance: this.#meanOthers * (1 - kept * kept),
    };
  }

  /** Time that one more call takes beside so many others. */
  getCost(calls: number, { now, usualMs }: EstimateContext): number {
    const trust = this.#endedCalls / (this.#endedCalls + FEW_CALLS) *
      Math.exp((this.#lastEndAt - now) / FORGETTING_MS);
    const callMs = usualMs + trust * (this.#callMs - usualMs);
    return callMs * this.getPace(now) *
      (this.#getWaitFactor(calls + 1) + EVENNESS * calls / this.#slots);
  }

  #getWaitFactor(calls: number): number {
    return Math.max(1, calls / this.#slots);
  }
}
