/**
 * Counters, gauges and latency histograms of one process, rendered as text in the Prometheus
 * exposition format.
 * @module
 */
import * as hdr from "hdr-histogram-js";

/** Tag names and values that identify one series of a metric. */
export interface MetricTags {
  readonly [tag: string]: string;
}

/** Content type of {@link Metrics.render}. */
export const METRICS_CONTENT_TYPE = "text/plain; version=0.0.4";

/** Longer durations are recorded as this value. */
const MAX_DURATION_MS = 60_000;
const QUANTILES = [0.5, 0.9, 0.99];
/**
 * Limit on the number of series of each kind, so that tags with many
 * values can't exhaust memory. Further series are dropped.
 */
const MAX_SERIES = 500;

/** The counters, gauges and histograms of one process. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, number>();
  readonly #histograms = new Map<string, hdr.Histogram>();
  readonly #sums = new Map<string, number>();

  /** Adds `by` to a counter. */
  count(name: string, by = 1, tags: MetricTags = {}): void {
    const key = formatSeries(name, tags);
    const current = this.#counters.get(key);
    if (current === undefined && this.#counters.size >= MAX_SERIES) return;
    this.#counters.set(key, (current ?? 0) + by);
  }

  /** Sets a gauge. */
  setGauge(name: string, value: number, tags: MetricTags = {}): void {
    const key = formatSeries(name, tags);
    if (!this.#gauges.has(key) && this.#gauges.size >= MAX_SERIES) return;
    this.#gauges.set(key, value);
  }

  /** Records a duration in milliseconds. */
  observe(name: string, ms: number, tags: MetricTags = {}): void {
    const key = formatSeries(`${name}_ms`, tags);
    let histogram = this.#histograms.get(key);
    if (histogram === undefined) {
      if (this.#histograms.size >= MAX_SERIES) return;
      histogram = hdr.build({
        highestTrackableValue: MAX_DURATION_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.#histograms.set(key, histogram);
    }
    const value = Math.min(MAX_DURATION_MS, Math.max(0, Math.round(ms)));
    histogram.recordValue(value);
    this.#sums.set(key, (this.#sums.get(key) ?? 0) + value);
  }

  /** Renders all metrics in the Prometheus exposition format. */
  render(): string {
    const lines: string[] = [];
    for (const [key, value] of this.#counters) lines.push(`${key} ${value}`);
    for (const [key, value] of this.#gauges) lines.push(`${key} ${value}`);
    for (const [key, histogram] of this.#histograms) {
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(100 * quantile);
        lines.push(`${addTag(key, `quantile="${quantile}"`)} ${value}`);
      }
      lines.push(`${addSuffix(key, "_count")} ${histogram.totalCount}`);
      lines.push(`${addSuffix(key, "_sum")} ${this.#sums.get(key) ?? 0}`);
    }
    return `${lines.join("\n")}\n`;
  }
}

function formatSeries(name: string, tags: MetricTags): string {
  const pairs = Object.entries(tags).map(([tag, value]) =>
    `${tag}="${value.replaceAll(/["\\\n]/g, "_")}"`
  );
  const text = `bitternfall_${name.replaceAll(/[^a-zA-Z0-9_]/g, "_")}`;
  return pairs.length === 0 ? text : `${text}{${pairs.join(",")}}`;
}

function addTag(series: string, tag: string): string {
  return series.endsWith("}")
    ? `${series.slice(0, -1)},${tag}}`
    : `${series}{${tag}}`;
}

function addSuffix(series: string, suffix: string): string {
  const tagsStart = series.indexOf("{");
  return tagsStart < 0
    ? series + suffix
    : series.slice(0, tagsStart) + suffix + series.slice(tagsStart);
}
