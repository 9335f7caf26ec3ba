/**
 * The requests of an experiment, drawn from its seed; every policy gets the same.
 * @module
 */
import { CHARS_PER_TOKEN, createRandom } from "@bitternfall/stand-ins";
import type {
  ExperimentScenario,
  WorkspaceLoad,
} from "./experiment_scenario.ts";

/** One model request of a trace. */
export interface TraceRequest {
  /** Milliseconds since the start. */
  readonly at: number;
  readonly number: number;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly sharedTokens: number;
  readonly outputTokens: number;
}

/** Draws the model requests of the first `seconds`. */
export function drawTrace(
  scenario: ExperimentScenario,
  options: { seed: number; seconds: number },
): TraceRequest[] {
  const random = createRandom(options.seed);
  const { rates, workspaces } = scenario.load;
  const highest = Math.max(...rates.map((point) => point.rate));
  const trace: TraceRequest[] = [];
  for (let at = 0;;) {
    at += -Math.log(1 - random()) / highest;
    if (at >= options.seconds) return trace;
    // Thinning turns a steady process into one that follows the scenario's rates.
    if (random() * highest > getRate(rates, at)) continue;
    const workspace = pickWorkspace(workspaces, { at, pick: random() });
    const own = drawLogUniform(workspace.promptTokens, random());
    trace.push({
      at: at * 1000,
      number: trace.length,
      workspace: workspace.name,
      promptTokens: own + workspace.sharedPrefixTokens,
      sharedTokens: workspace.sharedPrefixTokens,
      outputTokens: drawLogUniform(workspace.outputTokens, random()),
    });
  }
}

/** The prompt of a request: the workspace's shared text, then its own. */
export function createPrompt(request: TraceRequest): string {
  const { workspace, sharedTokens, promptTokens, number, outputTokens } =
    request;
  const shared = fill(
    `rules of ${workspace}. `,
    sharedTokens * CHARS_PER_TOKEN,
  );
  const ending = ` tag=t${number} len=${outputTokens}`;
  const own = (promptTokens - sharedTokens) * CHARS_PER_TOKEN - ending.length;
  return shared + fill(`case ${number} of ${workspace}: `, Math.max(0, own)) +
    ending;
}

/** Requests a second at a time in seconds. */
export function getRate(
  rates: ExperimentScenario["load"]["rates"],
  at: number,
): number {
  let before = rates[0]!;
  for (const point of rates) {
    if (point.at > at) {
      const share = (at - before.at) / Math.max(1e-9, point.at - before.at);
      return before.rate + share * (point.rate - before.rate);
    }
    before = point;
  }
  return before.rate;
}

function pickWorkspace(
  workspaces: readonly WorkspaceLoad[],
  options: { at: number; pick: number },
): WorkspaceLoad {
  const { at, pick } = options;
  const shares = workspaces.map(({ share, surge }) => {
    const surges = surge !== undefined && at >= surge.from && at < surge.to;
    return share * (surges ? surge.factor : 1);
  });
  let left = pick * shares.reduce((sum, share) => sum + share, 0);
  for (const [index, share] of shares.entries()) {
    left -= share;
    if (left < 0) return workspaces[index]!;
  }
  return workspaces.at(-1)!;
}

function drawLogUniform(
  [low, high]: readonly [number, number],
  pick: number,
): number {
  return Math.round(
    Math.exp(Math.log(low) + pick * (Math.log(high) - Math.log(low))),
  );
}

function fill(text: string, length: number): string {
  return text.repeat(Math.ceil(length / text.length)).slice(0, length);
}
