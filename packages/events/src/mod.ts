/**
 * Numbered log events (pino, JSON lines on standard error) and metrics (StatsD).
 * @module
 */
import { StatsD } from "hot-shots";
import { pino } from "pino";
import { type EventName, EVENTS } from "./catalogue.ts";

export * from "./catalogue.ts";

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
  /** StatsD target; metrics are dropped without one. */
  readonly statsd?:
    | { readonly host: string; readonly port: number }
    | undefined;
  /** Fields that stand in every line and tag. */
  readonly base?: { readonly [field: string]: string };
}

/** Writes events and metrics of one process. */
export class EventLog {
  readonly #log: pino.Logger;
  readonly #statsd: StatsD;

  constructor(options: EventLogOptions = {}) {
    const { level = "info", statsd, base = {} } = options;
    this.#log = pino(
      { level, base },
      pino.destination({ dest: 2, sync: false }),
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

  /** Writes one event. */
  emit(name: EventName, fields: EventFields = {}): void {
    const { id, level, text } = EVENTS[name];
    this.#log[level]({ event: id, ...fields }, text);
  }

  /** Adds `by` to a counter. */
  count(metric: string, by = 1, tags?: { [tag: string]: string }): void {
    this.#statsd.increment(metric, by, tags);
  }

  /** Sets a gauge. */
  gauge(metric: string, value: number, tags?: { [tag: string]: string }): void {
    this.#statsd.gauge(metric, value, tags);
  }

  /** Records a duration in milliseconds. */
  timing(metric: string, ms: number, tags?: { [tag: string]: string }): void {
    this.#statsd.timing(metric, ms, tags);
  }

  /** Flushes what is buffered. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => this.#statsd.close(() => resolve()));
    this.#log.flush();
  }
}
