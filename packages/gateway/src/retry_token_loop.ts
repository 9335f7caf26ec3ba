/**
 * Passes retry tokens that this VM does not need on to the dispatchers.
 * @module
 */
import type { DispatchClient, DispatchHost } from "@bitternfall/dispatch-host";
import type { EventLog } from "@bitternfall/events";
import { monotonicNow, sleep } from "@bitternfall/types";
import type { GatewayService } from "./model.ts";
import type { SharedLimits } from "./shared_limits.ts";

/** Options of {@link runRetryTokenLoop}. */
export interface RetryTokenLoopOptions {
  readonly getVmCount: () => number;
  readonly limits: Pick<SharedLimits, "listRetryAllowances">;
  readonly host: Pick<DispatchHost, "find">;
  readonly dispatch: Pick<DispatchClient, "passRetryTokens">;
  readonly findService: (name: string) => GatewayService | undefined;
  readonly log: EventLog;
  readonly signal: AbortSignal;
}

/** Shortest mean interval at which a VM passes retry tokens on. */
const MIN_INTERVAL_MS = 1000;
/** The interval grows with the VMs, which bounds the messages that a dispatcher receives. */
const INTERVAL_MS_PER_VM = 16;

/** Passes surplus retry tokens on, and records the counts, until `signal` is aborted. */
export async function runRetryTokenLoop(
  options: RetryTokenLoopOptions,
): Promise<void> {
  const { getVmCount, limits, host, dispatch, findService, log, signal } =
    options;
  while (!signal.aborted) {
    const intervalMs = Math.max(
      MIN_INTERVAL_MS,
      INTERVAL_MS_PER_VM * getVmCount(),
    );
    await sleep(intervalMs * (0.5 + Math.random()), signal);
    const now = monotonicNow();
    for (const [name, allowance] of limits.listRetryAllowances()) {
      const tags = { service: name };
      log.gauge("retry_tokens", allowance.getCount(now), tags);
      const pooled = host.find(name)?.retryTokens ?? 0;
      log.gauge("retry_tokens_pooled", pooled, tags);
      if (findService(name)?.engine === undefined) continue;
      dispatch.passRetryTokens(name, allowance.takeSurplus(now));
    }
  }
}
