/**
 * When and where a soak interfered, so that checks leave out what it explains.
 * @module
 */
import { BOUNDS } from "./soak_config.ts";

interface Span {
  readonly from: number;
  to: number;
}

/** Name under which disturbances of the object API are kept. */
export const STORE = "store";
/** Name under which the soak's own process notes that it was held up. */
export const OBSERVER = "observer";

/** Spans of time, on the monotonic clock, by what was disturbed. */
export class Disturbances {
  readonly #spans = new Map<string, Span[]>();

  /** Begins a disturbance; the result ends it. */
  begin(target: string): () => void {
    const span = { from: performance.now(), to: Infinity };
    const spans = this.#spans.get(target) ?? [];
    spans.push(span);
    this.#spans.set(target, spans);
    return () => span.to = performance.now();
  }

  /** Notes a disturbance that is over. */
  note(target: string, span: { from: number; to: number }): void {
    this.#spans.set(target, [...this.#spans.get(target) ?? [], span]);
  }

  /** Whether any of the targets was disturbed in a time, or shortly before it. */
  touches(
    targets: readonly string[],
    time: { from: number; to: number },
  ): boolean {
    return targets.some((target) =>
      this.#spans.get(target)?.some(({ from, to }) =>
        from <= time.to && to + BOUNDS.stableMs >= time.from
      )
    );
  }
}
