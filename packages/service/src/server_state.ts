/**
 * What a VM knows of one process of a plain service's server.
 * @module
 */
import type { Upstream } from "@bitternfall/types";
import { LoadEstimate } from "./load_estimate.ts";

/** A server process; `bornAt` is undefined where processes are not told apart. */
export interface ServerProcess {
  readonly id: string;
  /** Start time of the process. */
  readonly bornAt?: number | undefined;
}

/** What the pool needs to know of a server. */
export type PooledServer = ServerProcess & Pick<Upstream, "availabilityZone">;

/** A server's load report. */
export interface LoadReport {
  /** Calls that run or wait there. */
  readonly running: number;
  readonly leaving: boolean;
  /** Calls that it runs at once; undefined if it does not say. */
  readonly slots?: number | undefined;
  /** How long work takes there, 1 is normal; undefined if it does not say. */
  readonly pace?: number | undefined;
  /** How old the report is. */
  readonly ageMs?: number | undefined;
}

/** A finished call. */
export interface FinishedCall {
  readonly ms: number;
  readonly failed: boolean;
  /** Calls at the server when this one was sent, itself included, if known. */
  readonly callsAtStart?: number | undefined;
}

/** Weight of the newest call in the moving averages. */
const SMOOTHING_FACTOR = 0.1;

/** Load, failures and latency of a server process. */
export class ServerState {
  readonly bornAt: number | undefined;
  readonly estimate = new LoadEstimate();
  /** Calls of this VM in flight. */
  outstanding = 0;
  /** Running calls according to the server's last load report. */
  reportedCalls = 0;
  leaving = false;
  /** Until then, the server is picked only if no other is left. */
  avoidUntil = 0;
  /** Moving average of the latency; 0 until a call has succeeded. */
  latencyMs = 0;
  /** Moving average of the share of calls that failed. */
  failureRate = 0;

  constructor(bornAt: number | undefined) {
    this.bornAt = bornAt;
  }

  setReport(report: LoadReport, now: number): void {
    this.reportedCalls = report.running;
    this.leaving = report.leaving;
    this.estimate.setReport(report, { outstanding: this.outstanding, now });
  }

  /** Updates the averages with a finished call; only successful calls count for latency. */
  recordCall(
    { ms, failed, callsAtStart = 1 }: FinishedCall,
    now: number,
  ): void {
    this.failureRate += SMOOTHING_FACTOR * (Number(failed) - this.failureRate);
    if (failed) return;
    const previousMs = this.latencyMs === 0 ? ms : this.latencyMs;
    this.latencyMs = previousMs + SMOOTHING_FACTOR * (ms - previousMs);
    this.estimate.recordCall(ms, { now, callsAtStart });
  }
}
