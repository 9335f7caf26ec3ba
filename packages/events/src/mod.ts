/**
 * Numbered log events (pino, JSON lines) and metrics (StatsD, and a page of their own).
 * @module
 */
import { StatsD } from "hot-shots";
import { pino } from "pino";
import { type EventName, EVENTS } from "./catalogue.ts";
import { LineBudget } from "./line_budget.ts";
import { Metrics } from "./metrics.ts";

export * from "./catalogue.ts";
export * from "./line_budget.ts";
export * from "./metrics.ts";

/** Values that accompany an event. */
export interface EventFields {
  readonly [field: string]:
    | string
    | number
    | boolean
    | undefined
    | readonly string[];
}

/** Where log lines and metrics go. */
export interface EventLogOptions {
  /** Least severe level that is written. */
  readonly level?: string;
  /** Descriptor that lines are written to: 1 for standard output, 2 for standard error. */
  readonly descriptor?: 1 | 2;
  /** Lines of one event that are written a second; what is beyond is counted. */
  readonly linesPerSecond?: number;
  /** StatsD target; metrics are dropped without one. */
  readonly statsd?:
    | { readonly host: string; readonly port: number }
    | undefined;
  /** Fields that stand in every line and tag. */
  readonly base?: { readonly [field: string]: string };
}

/** Log lines that wait for a slow reader take at most this much memory. */
const MAX_BUFFERED_BYTES = 1_000_000;

/** Writes events and metrics of one process. */
export class EventLog {
  /** Counters and histograms of this process. */
  readonly metrics = new Metrics();
  readonly #log: pino.Logger;
  readonly #statsd: StatsD;
  readonly #budget: LineBudget;

  constructor(options: EventLogOptions = {}) {
    const {
      level = "info",
      descriptor = 2,
      linesPerSecond = Infinity,
      statsd,
      base = {},
    } = options;
    this.#budget = new LineBudget({ linesPerSecond });
    // Lines that a slow reader leaves behind are dropped, never waited for.
    this.#log = pino(
      { level, base },
      pino.destination({
        dest: descriptor,
        sync: false,
        maxLength: MAX_BUFFERED_BYTES,
      }),
    );
    this.#statsd = new StatsD({
      host: statsd?.host ?? "127.0.0.1",
      port: statsd?.port ?? 8125,
      prefix: "bitternfall.",
      mock: statsd === undefined,
      globalTags: { ...base },
      maxBufferSize: 1400,
      errorHandler: () => {},
    });
  }

  /** Takes another level and another bound on lines into force. */
  configure(options: { level: string; linesPerSecond: number }): void {
    this.#log.level = options.level;
    this.#budget.configure(options);
  }

  /** Writes one event. */
  emit(name: EventName, fields: EventFields = {}): void {
    const { id, level, text } = EVENTS[name];
    this.metrics.count("events_total", 1, { event: name });
    const suppressed = this.#budget.take(name);
    if (suppressed === undefined) return;
    const extra = suppressed > 0 ? { suppressed } : {};
    this.#log[level]({ event: id, ...fields, ...extra }, text);
  }

  /** Adds `by` to a counter. */
  count(metric: string, by = 1, tags?: { [tag: string]: string }): void {
    this.metrics.count(metric, by, tags);
    this.#statsd.increment(metric, by, tags);
  }

  /** Sets a gauge. */
  gauge(metric: string, value: number, tags?: { [tag: string]: string }): void {
    this.#statsd.gauge(metric, value, tags);
  }

  /** Records a duration in milliseconds. */
  timing(metric: string, ms: number, tags?: { [tag: string]: string }): void {
    this.metrics.observe(metric, ms, tags);
    this.#statsd.timing(metric, ms, tags);
  }

  /** Flushes what is buffered. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => this.#statsd.close(() => resolve()));
    this.#log.flush();
  }
}
