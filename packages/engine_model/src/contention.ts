/**
 * Days on which urgent and routine streams of many accounts compete for model servers
 * whose memory binds.
 * @module
 */
import { type DayResult, type OutcomeKind, simulateDay } from "./day.ts";
import {
  type Arrival,
  type Burst,
  createArrivals,
  getPatience,
  type Load,
} from "./load.ts";
import type { ServerTraits } from "./servers.ts";

/** Streams of one kind. */
export interface StreamKind {
  readonly name: string;
  readonly rank: number;
  readonly perSecond: number;
  /** Target of the first event. */
  readonly aimMs: number;
}

/** An account that sends more than usual of one kind. */
export interface Flood extends Burst {
  readonly account: string;
  readonly kind: string;
}

/** Deployment and demand of a day. */
export interface ContentionOptions {
  readonly kinds: readonly StreamKind[];
  /** Number of accounts, which share the streams of each kind evenly. */
  readonly accounts: number;
  readonly floods: readonly Flood[];
  readonly bursts: readonly Burst[];
  readonly traits: ServerTraits;
  readonly prefills: number;
  readonly decodes: number;
  readonly sizes: Pick<Load, "promptTokens" | "events" | "hintSpread">;
  readonly lengthMs: number;
  readonly vms: number;
  readonly seed: number;
  /** Whether requests name their rank, and whether they name their account. */
  readonly hasRanks: boolean;
  readonly hasAccounts: boolean;
}

/** Outcome of one stream. */
export interface StreamOutcome {
  readonly kind: string;
  readonly account: string;
  readonly atMs: number;
  readonly outcome: OutcomeKind;
}

/** Results of a day. */
export interface ContentionResult {
  readonly streams: readonly StreamOutcome[];
  readonly day: DayResult;
}

interface Stream {
  readonly kind: StreamKind;
  readonly account: string;
  readonly arrival: Arrival;
  readonly vm: string;
}

/** Factor of the caller's estimate up to which a run's output is reserved. */
const LENGTH_FACTOR = 1.5;
const LATE_CREDIT = 0.2;

/** Simulates one day. */
export async function simulateContention(
  options: ContentionOptions,
): Promise<ContentionResult> {
  const { traits, prefills, decodes, seed, hasRanks, hasAccounts } = options;
  const streams = drawStreams(options);
  const byId = new Map(streams.map((stream) => [stream.arrival.id, stream]));
  const longestOutput = options.sizes.events.max * traits.tokensPerEvent;
  const outcomes: StreamOutcome[] = [];
  const day = await simulateDay({
    traits,
    prefills,
    decodes,
    load: createLoad(options, 1),
    arrivals: streams.map(({ arrival }) => arrival),
    seed,
    aimMs: 0,
    lateCredit: LATE_CREDIT,
    config: { canPrefillOnDecode: true },
    buildRequestFields: (arrival, waitedMs) => {
      const { kind, account, vm } = byId.get(arrival.id)!;
      const output = LENGTH_FACTOR * arrival.expectedEvents *
        traits.tokensPerEvent;
      return {
        workspace: kind.name,
        owner: vm,
        maxTokens: longestOutput,
        heldTokens: Math.ceil(
          arrival.promptTokens + Math.min(longestOutput, output),
        ),
        deadline: arrival.atMs + waitedMs + kind.aimMs,
        patience: getPatience(arrival, waitedMs),
        ...(hasRanks ? { rank: kind.rank } : {}),
        ...(hasAccounts ? { account } : {}),
      };
    },
    onOutcome: ({ id, atMs }, outcome) => {
      const { kind, account } = byId.get(id)!;
      outcomes.push({ kind: kind.name, account, atMs, outcome });
    },
  });
  return { streams: outcomes, day };
}

/** Draws the streams of all kinds and accounts in order of arrival. */
function drawStreams(options: ContentionOptions): Stream[] {
  const streams: Stream[] = [];
  let seed = options.seed * 1000;
  for (const kind of options.kinds) {
    for (let index = 0; index < options.accounts; index++) {
      const account = `a${index}`;
      const load = createLoad(options, kind.perSecond / options.accounts);
      const floods = options.floods.filter((flood) =>
        flood.account === account && flood.kind === kind.name
      );
      const bursts = [...load.bursts, ...floods];
      for (const arrival of createArrivals({ ...load, bursts }, ++seed)) {
        const id = `${kind.name}-${account}-${arrival.id}`;
        const vm = `vm-${1 + streams.length % options.vms}`;
        const { aimMs, rank } = kind;
        const fields = { id, aimMs, ...(options.hasRanks ? { rank } : {}) };
        streams.push({ kind, account, arrival: { ...arrival, ...fields }, vm });
      }
    }
  }
  return streams.sort((a, b) => a.arrival.atMs - b.arrival.atMs);
}

function createLoad(
  { sizes, lengthMs, bursts }: ContentionOptions,
  perSecond: number,
): Load {
  return { ...sizes, perSecond, lengthMs, bursts, patienceSpreadMs: 2000 };
}

/** Share of the streams that had an outcome; 1 where there are no streams. */
export function getShare(
  streams: readonly StreamOutcome[],
  outcome: OutcomeKind,
): number {
  const count = streams.filter((stream) => stream.outcome === outcome).length;
  return streams.length === 0 ? 1 : count / streams.length;
}
