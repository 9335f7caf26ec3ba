/**
 * Numbered log events, written as JSON lines by pino, and metrics, sent to StatsD and
 * rendered in the Prometheus exposition format.
 * @module
 */
import { StatsD } from "hot-shots";
import { pino } from "pino";
import { type EventName, EVENTS } from "./catalogue.ts";
import { LogRateLimiter } from "./log_rate_limiter.ts";
import { Metrics } from "./metrics.ts";

export * from "./catalogue.ts";
export * from "./log_rate_limiter.ts";
export * from "./metrics.ts";
export * from "./run_service.ts";
export * from "./unhandled_errors.ts";

/** Fields logged with an event. */
export interface EventFields {
  readonly [field: string]:
    | string
    | number
    | boolean
    | undefined
    | readonly string[];
}

/** Destinations and limits of log lines and metrics. */
export interface EventLogOptions {
  /** Least severe level that is written. */
  readonly level?: string;
  /** File descriptor of the log: 1 for standard output, 2 for standard error. */
  readonly descriptor?: 1 | 2;
  /** Limit for each kind of event; lines above it are counted but not written. */
  readonly linesPerSecond?: number;
  /** StatsD server; without one, nothing is sent to StatsD. */
  readonly statsd?:
    | { readonly host: string; readonly port: number }
    | undefined;
  /** Fields added to every log line, and tags added to every StatsD metric. */
  readonly base?: { readonly [field: string]: string };
}

/** Limit on the memory for log lines that wait for a slow reader. */
const MAX_BUFFERED_BYTES = 1_000_000;

/** Writes the log events and metrics of one process. */
export class EventLog {
  /** Metrics that the process serves itself, beside StatsD. */
  readonly metrics = new Metrics();
  readonly #log: pino.Logger;
  /** Undefined where no server is set; a client without one would keep all messages. */
  readonly #statsd: StatsD | undefined;
  readonly #rateLimiter: LogRateLimiter;

  constructor(options: EventLogOptions = {}) {
    const {
      level = "info",
      descriptor = 2,
      linesPerSecond = Infinity,
      statsd,
      base = {},
    } = options;
    this.#rateLimiter = new LogRateLimiter({ linesPerSecond });
    // Writes are asynchronous and the buffer is bounded: lines that a slow reader does not
    // take in time are dropped, so that logging never blocks the process.
    this.#log = pino(
      { level, base },
      pino.destination({
        dest: descriptor,
        sync: false,
        maxLength: MAX_BUFFERED_BYTES,
      }),
    );
    this.#statsd = statsd && new StatsD({
      host: statsd.host,
      port: statsd.port,
      prefix: "bitternfall.",
      globalTags: { ...base },
      maxBufferSize: 1400,
      errorHandler: () => {},
    });
  }

  /** Replaces the log level and the limit on lines per second. */
  configure(options: { level: string; linesPerSecond: number }): void {
    this.#log.level = options.level;
    this.#rateLimiter.configure(options);
  }

  /**
   * Logs one event, unless the rate limit suppresses it, and counts it in any case. The
   * last event before an exit is not limited.
   */
  emit(
    name: EventName,
    fields: EventFields = {},
    { isLast = false }: { isLast?: boolean } = {},
  ): void {
    const { id, level, text } = EVENTS[name];
    this.metrics.count("events_total", 1, { event: name });
    const suppressed = this.#rateLimiter.tryAcquire(name);
    if (suppressed === undefined && !isLast) return;
    const extra = suppressed ? { suppressed } : {};
    this.#log[level]({ event: id, ...fields, ...extra }, text);
  }

  /** Adds `by` to a counter. */
  count(metric: string, by = 1, tags?: { [tag: string]: string }): void {
    this.metrics.count(metric, by, tags);
    this.#statsd?.increment(metric, by, tags);
  }

  /** Sets a gauge. */
  gauge(metric: string, value: number, tags?: { [tag: string]: string }): void {
    this.metrics.setGauge(metric, value, tags);
    this.#statsd?.gauge(metric, value, tags);
  }

  /** Records a duration in milliseconds. */
  timing(metric: string, ms: number, tags?: { [tag: string]: string }): void {
    this.metrics.observe(metric, ms, tags);
    this.#statsd?.timing(metric, ms, tags);
  }

  /** Flushes buffered metrics and log lines. */
  async close(): Promise<void> {
    const statsd = this.#statsd;
    if (statsd !== undefined) {
      await new Promise<void>((resolve) => statsd.close(() => resolve()));
    }
    this.#log.flush();
  }
}
