/**
 * Draws the model requests of an experiment from its seed. All policies of an experiment
 * receive the same requests.
 * @module
 */
import { CHARS_PER_TOKEN, createRandom } from "@bitternfall/stand-ins";
import type {
  ExperimentScenario,
  WorkspaceLoad,
} from "./experiment_scenario.ts";

/** One model request of a trace. */
export interface TraceRequest {
  /** Arrival time since the start of the run. */
  readonly atMs: number;
  /** Position in the trace, from 0. */
  readonly index: number;
  readonly workspace: string;
  /** Length of the prompt, including the shared prefix. */
  readonly promptTokens: number;
  readonly sharedPrefixTokens: number;
  readonly outputTokens: number;
}

/** Draws the model requests of a run that lasts `seconds`. */
export function drawTrace(
  scenario: ExperimentScenario,
  options: { seed: number; seconds: number },
): TraceRequest[] {
  const random = createRandom(options.seed);
  const { rates, workspaces } = scenario.load;
  const maxRate = Math.max(...rates.map((point) => point.rate));
  const trace: TraceRequest[] = [];
  for (let atSeconds = 0;;) {
    atSeconds += -Math.log(1 - random()) / maxRate;
    if (atSeconds >= options.seconds) return trace;
    // Thinning: arrivals of a Poisson process at the maximum rate are dropped with the
    // probability that leaves the scenario's rate at this time.
    if (random() * maxRate > interpolateRate(rates, atSeconds)) continue;
    const workspace = pickWorkspace(workspaces, {
      atSeconds,
      draw: random(),
    });
    const ownTokens = drawLogUniform(workspace.promptTokens, random());
    trace.push({
      atMs: atSeconds * 1000,
      index: trace.length,
      workspace: workspace.name,
      promptTokens: ownTokens + workspace.sharedPrefixTokens,
      sharedPrefixTokens: workspace.sharedPrefixTokens,
      outputTokens: drawLogUniform(workspace.outputTokens, random()),
    });
  }
}

/**
 * Creates the prompt of a request: the prefix shared by the workspace, text of its own, and
 * a suffix that gives the engine stand-in a tag and the response length.
 */
export function createPrompt(request: TraceRequest): string {
  const {
    workspace,
    sharedPrefixTokens,
    promptTokens,
    index,
    outputTokens,
  } = request;
  const sharedText = repeatToLength(
    `rules of ${workspace}. `,
    sharedPrefixTokens * CHARS_PER_TOKEN,
  );
  const suffix = ` tag=t${index} len=${outputTokens}`;
  const ownChars = (promptTokens - sharedPrefixTokens) * CHARS_PER_TOKEN -
    suffix.length;
  return sharedText +
    repeatToLength(`case ${index} of ${workspace}: `, Math.max(0, ownChars)) +
    suffix;
}

/** Returns the requests per second at a time by linear interpolation. */
export function interpolateRate(
  rates: ExperimentScenario["load"]["rates"],
  atSeconds: number,
): number {
  let previous = rates[0]!;
  for (const point of rates) {
    if (point.at > atSeconds) {
      const fraction = (atSeconds - previous.at) /
        Math.max(1e-9, point.at - previous.at);
      return previous.rate + fraction * (point.rate - previous.rate);
    }
    previous = point;
  }
  return previous.rate;
}

function pickWorkspace(
  workspaces: readonly WorkspaceLoad[],
  options: { atSeconds: number; draw: number },
): WorkspaceLoad {
  const { atSeconds, draw } = options;
  const shares = workspaces.map(({ share, surge }) => {
    const isSurging = surge !== undefined && atSeconds >= surge.from &&
      atSeconds < surge.to;
    return share * (isSurging ? surge.factor : 1);
  });
  let remaining = draw * shares.reduce((sum, share) => sum + share, 0);
  for (const [index, share] of shares.entries()) {
    remaining -= share;
    if (remaining < 0) return workspaces[index]!;
  }
  return workspaces.at(-1)!;
}

function drawLogUniform(
  [low, high]: readonly [number, number],
  draw: number,
): number {
  return Math.round(
    Math.exp(Math.log(low) + draw * (Math.log(high) - Math.log(low))),
  );
}

function repeatToLength(text: string, length: number): string {
  return text.repeat(Math.ceil(length / text.length)).slice(0, length);
}
