/**
 * Renders the results of an experiment as an HTML report with plots in inline SVG.
 * @module
 */
import { getQuantile, type Metrics, WasteCause } from "./experiment_metrics.ts";
import type { ExperimentScenario } from "./experiment_scenario.ts";

/** Input of a report. */
export interface ReportInput {
  readonly scenario: ExperimentScenario;
  readonly seconds: number;
  readonly runs: readonly Metrics[];
}

/** One line of a plot: a policy and its points as [x, y]. */
interface PlotLine {
  readonly label: string;
  readonly points: readonly (readonly [number, number])[];
}

const COLOURS = [
  "#0b6e4f",
  "#c1121f",
  "#e09f3e",
  "#335c67",
  "#6a4c93",
  "#111111",
];
const WIDTH = 520;
const HEIGHT = 260;
const MARGIN = 46;
const QUANTILE_STEPS = 100;

/** Renders the report as a complete HTML page. */
export function renderReport(input: ReportInput): string {
  const { scenario, seconds, runs } = input;
  const policies = [...new Set(runs.map((run) => run.policy))];
  const { firstOutputMs, betweenOutputsMs } = scenario.model.targets;
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escape(scenario.name)}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 1120px; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { padding: .3em .8em; border-bottom: 1px solid #ddd; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.plots { display: flex; flex-wrap: wrap; gap: 1.5em; }
figure { margin: 0; }
figcaption { font-weight: 600; }
svg text { font-size: 11px; fill: #444; }
</style>
</head>
<body>
<h1>${escape(scenario.name)}</h1>
<p>${escape(scenario.description)}</p>
<p>Length of a run: ${seconds} s. Targets: first output within ${firstOutputMs} ms, ${betweenOutputsMs} ms between outputs.
Seeds: ${[...new Set(runs.map((run) => run.seed))].join(", ")}.</p>
${renderTable(runs, policies)}
<div class="plots">
${
    renderLinePlot(
      "Goodput by offered load (requests/s)",
      buildPlotLines(runs, policies, (policyRuns) =>
        getGoodputByLoad(policyRuns)),
    )
  }
${
    renderLinePlot(
      "Time to first output, ms by percentile",
      buildPlotLines(runs, policies, (policyRuns) =>
        getQuantileCurve(policyRuns, "firstOutputMs")),
    )
  }
${
    renderLinePlot(
      "Mean time between outputs, ms by percentile",
      buildPlotLines(runs, policies, (policyRuns) =>
        getQuantileCurve(policyRuns, "betweenMs")),
    )
  }
${
    renderBarChart(
      "Wasted prefill by cause, % of prefilled tokens",
      policies,
      (policy) => getWastedPercentByCause(runs, policy),
    )
  }
${
    renderBarChart(
      "Requests within both targets, % by workspace",
      policies,
      (policy) => getGoodPercentByWorkspace(runs, policy),
    )
  }
</div>
</body>
</html>
`;
}

function renderTable(
  runs: readonly Metrics[],
  policies: readonly string[],
): string {
  const rows = policies.map((policy) => {
    const policyRuns = runs.filter((run) => run.policy === policy);
    const cells = [
      formatSpread(policyRuns.map((run) => 100 * run.goodShare)),
      formatSpread(
        policyRuns.map((run) => 100 * run.good / Math.max(1, run.bound)),
      ),
      formatSpread(policyRuns.map((run) => 100 * run.wastedShare)),
      formatSpread(
        policyRuns.map((run) => getQuantile(run.firstOutputMs, 0.95)),
      ),
      formatSpread(policyRuns.map((run) => getQuantile(run.betweenMs, 0.95))),
      formatSpread(policyRuns.map((run) => run.refused)),
      formatSpread(policyRuns.map((run) => run.failed)),
      formatSpread(policyRuns.map((run) => run.lookupAddedP95)),
    ];
    return `<tr><td>${escape(policy)}</td>${
      cells.map((cell) => `<td>${cell}</td>`).join("")
    }</tr>`;
  });
  const headings = [
    "policy",
    "within both targets, %",
    "within both targets, % of the offline bound",
    "wasted prefill, %",
  ];
  headings.push(
    "first output p95, ms",
    "between outputs p95, ms",
    "refused",
    "failed",
    "added lookup latency p95, ms",
  );
  return `<table><tr>${
    headings.map((head) => `<th>${head}</th>`).join("")
  }</tr>${rows.join("")}</table>`;
}

function buildPlotLines(
  runs: readonly Metrics[],
  policies: readonly string[],
  getPoints: (policyRuns: readonly Metrics[]) => (readonly [number, number])[],
): PlotLine[] {
  return policies.map((policy) => ({
    label: policy,
    points: getPoints(runs.filter((run) => run.policy === policy)),
  }));
}

/** Averages goodput over at most 12 bins of offered load. */
function getGoodputByLoad(runs: readonly Metrics[]): [number, number][] {
  const points = runs.flatMap((run) => run.byLoad).sort((a, b) =>
    a.rate - b.rate
  );
  const binSize = Math.max(1, Math.ceil(points.length / 12));
  const bins: [number, number][] = [];
  for (let start = 0; start < points.length; start += binSize) {
    const bin = points.slice(start, start + binSize);
    bins.push([
      mean(bin.map((point) => point.rate)),
      mean(bin.map((point) => point.goodRate)),
    ]);
  }
  return bins;
}

function getQuantileCurve(
  runs: readonly Metrics[],
  field: "firstOutputMs" | "betweenMs",
): [number, number][] {
  const sorted = runs.flatMap((run) => run[field]).sort((a, b) => a - b);
  return Array.from(
    { length: QUANTILE_STEPS },
    (_, step) => [step, getQuantile(sorted, step / QUANTILE_STEPS)],
  );
}

function getWastedPercentByCause(
  runs: readonly Metrics[],
  policy: string,
): [string, number][] {
  const policyRuns = runs.filter((run) => run.policy === policy);
  return Object.values(WasteCause).map((cause) => [
    cause,
    100 *
    mean(
      policyRuns.map((run) =>
        run.wastedByCause[cause] / Math.max(1, run.prefilledTokens)
      ),
    ),
  ]);
}

function getGoodPercentByWorkspace(
  runs: readonly Metrics[],
  policy: string,
): [string, number][] {
  const policyRuns = runs.filter((run) => run.policy === policy);
  const names = policyRuns[0]?.byWorkspace.map((counts) => counts.workspace) ??
    [];
  return names.map((name, index) => [
    name,
    100 *
    mean(
      policyRuns.map(({ byWorkspace }) =>
        byWorkspace[index]!.good / Math.max(1, byWorkspace[index]!.offered)
      ),
    ),
  ]);
}

function renderLinePlot(title: string, lines: readonly PlotLine[]): string {
  const allPoints = lines.flatMap((line) => line.points);
  const maxX = Math.max(1, ...allPoints.map(([x]) => x));
  const maxY = Math.max(1, ...allPoints.map(([, y]) => y));
  const toPlotX = (x: number) =>
    (MARGIN + x / maxX * (WIDTH - 2 * MARGIN)).toFixed(1);
  const toPlotY = (y: number) =>
    (HEIGHT - MARGIN - y / maxY * (HEIGHT - 2 * MARGIN)).toFixed(1);
  const paths = lines.map(({ label, points }, index) => {
    const colour = COLOURS[index % COLOURS.length];
    const path = points.map(([x, y]) => `${toPlotX(x)},${toPlotY(y)}`).join(
      " ",
    );
    const legend = `<text x="${MARGIN + 6}" y="${
      16 + 14 * index
    }" style="fill:${colour}">${escape(label)}</text>`;
    return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${path}"/>${legend}`;
  });
  return wrapFigure(title, renderAxes(maxX, maxY) + paths.join(""));
}

function renderBarChart(
  title: string,
  policies: readonly string[],
  getBars: (policy: string) => readonly (readonly [string, number])[],
): string {
  const groups = policies.map((policy) => ({ policy, bars: getBars(policy) }));
  const maxY = Math.max(
    1,
    ...groups.flatMap(({ bars }) => bars.map(([, value]) => value)),
  );
  const groupWidth = (WIDTH - 2 * MARGIN) / Math.max(1, groups.length);
  const shapes = groups.map(({ policy, bars }, group) => {
    const left = MARGIN + group * groupWidth;
    const width = groupWidth * 0.8 / Math.max(1, bars.length);
    const rects = bars.map(([label, value], index) => {
      const height = value / maxY * (HEIGHT - 2 * MARGIN);
      const x = (left + index * width).toFixed(1);
      const y = (HEIGHT - MARGIN - height).toFixed(1);
      const fill = COLOURS[index % COLOURS.length];
      const tooltip = `<title>${escape(label)}: ${value.toFixed(2)}</title>`;
      return `<rect x="${x}" y="${y}" width="${
        (width * 0.9).toFixed(1)
      }" height="${height.toFixed(1)}" fill="${fill}">${tooltip}</rect>`;
    });
    return `${rects.join("")}<text x="${left}" y="${HEIGHT - MARGIN + 28}">${
      escape(policy)
    }</text>`;
  });
  const legend = (groups[0]?.bars ?? []).map(([label], index) =>
    `<text x="${MARGIN + 6}" y="${16 + 14 * index}" style="fill:${
      COLOURS[index % COLOURS.length]
    }">${escape(label)}</text>`
  );
  return wrapFigure(
    title,
    renderAxes(0, maxY) + shapes.join("") + legend.join(""),
  );
}

function renderAxes(maxX: number, maxY: number): string {
  const bottom = HEIGHT - MARGIN;
  const right = WIDTH - MARGIN;
  const axes = `<path d="M${MARGIN},${
    MARGIN / 2
  }V${bottom}H${right}" fill="none" stroke="#999"/>`;
  const labelY = `<text x="4" y="${MARGIN}">${
    formatTick(maxY)
  }</text><text x="4" y="${bottom}">0</text>`;
  const labelX = maxX === 0
    ? ""
    : `<text x="${right - 20}" y="${bottom + 14}">${formatTick(maxX)}</text>`;
  return axes + labelY + labelX;
}

function wrapFigure(title: string, body: string): string {
  const dimensions =
    `width="${WIDTH}" height="${HEIGHT}" viewBox="0 0 ${WIDTH} ${HEIGHT}"`;
  return `<figure><figcaption>${
    escape(title)
  }</figcaption><svg ${dimensions} role="img">${body}</svg></figure>`;
}

/** Formats values of several seeds as `mean (lowest–highest)`. */
function formatSpread(values: readonly number[]): string {
  const low = Math.min(...values);
  const high = Math.max(...values);
  return low === high
    ? formatTick(low)
    : `${formatTick(mean(values))} (${formatTick(low)}–${formatTick(high)})`;
}

function formatTick(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(1);
}

function mean(values: readonly number[]): number {
  return values.length === 0
    ? 0
    : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(
    ">",
    "&gt;",
  );
}
