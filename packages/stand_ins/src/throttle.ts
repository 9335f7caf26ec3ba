/**
 * Gives a process only a share of its processor's time, as a quota on a shared core does.
 * @module
 */
import type * as childProcess from "node:child_process";
import { sleep } from "@bitternfall/types";

const PERIOD_MS = 100;

/** Freezes a process for the rest of each period, until the returned function is called. */
export function throttle(
  child: childProcess.ChildProcess | undefined,
  share: number,
): () => void {
  const stop = new AbortController();
  const run = async () => {
    while (!stop.signal.aborted && child?.exitCode === null) {
      child.kill("SIGSTOP");
      await sleep((1 - share) * PERIOD_MS, stop.signal);
      child.kill("SIGCONT");
      await sleep(share * PERIOD_MS, stop.signal);
    }
  };
  void run();
  return () => stop.abort();
}
