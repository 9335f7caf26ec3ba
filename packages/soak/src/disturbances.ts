/**
 * Records when a soak disturbed which VM, server or store, so that checks can leave out
 * failures that the disturbance explains.
 * @module
 */
import { BOUNDS } from "./soak_config.ts";

interface Span {
  readonly from: number;
  to: number;
}

/** Target name of the object API. */
export const STORE = "store";
/** Target name of the soak's own process, disturbed when its event loop stalls. */
export const SOAK_PROCESS = "observer";

/** Disturbed time spans by target, on the monotonic clock. */
export class Disturbances {
  readonly #spans = new Map<string, Span[]>();

  /** Begins a disturbance; calling the returned function ends it. */
  begin(target: string): () => void {
    const span = { from: performance.now(), to: Infinity };
    const spans = this.#spans.get(target) ?? [];
    spans.push(span);
    this.#spans.set(target, spans);
    return () => span.to = performance.now();
  }

  /** Records a disturbance that has ended. */
  record(target: string, span: { from: number; to: number }): void {
    this.#spans.set(target, [...this.#spans.get(target) ?? [], span]);
  }

  /** Whether any target was disturbed in `time` or up to `recoveryMs` before it. */
  hasOverlap(
    targets: readonly string[],
    time: { from: number; to: number },
  ): boolean {
    return targets.some((target) =>
      this.#spans.get(target)?.some(({ from, to }) =>
        from <= time.to && to + BOUNDS.recoveryMs >= time.from
      )
    );
  }
}
