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

/** Outcomes of some of a day's requests. */
export interface OutcomeCounts {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
}

/** Results of a day. */
export interface ContentionResult {
  readonly byKind: ReadonlyMap<string, OutcomeCounts>;
  /** By kind and account, as "kind account". */
  readonly byAccount: ReadonlyMap<string, OutcomeCounts>;
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
  const byKind = new Map<string, OutcomeCounts>();
  const byAccount = new Map<string, OutcomeCounts>();
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
    onOutcome: ({ id }, outcome) => {
      const { kind, account } = byId.get(id)!;
      add(byKind, kind.name, outcome);
      add(byAccount, `${kind.name} ${account}`, outcome);
    },
  });
  return { byKind, byAccount, day };
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

function add(
  counts: Map<string, OutcomeCounts>,
  name: string,
  outcome: OutcomeKind,
): void {
  const count = counts.get(name) ??
    { asked: 0, onTime: 0, late: 0, refused: 0 };
  counts.set(name, count);
  count.asked++;
  if (outcome === "on-time") count.onTime++;
  else if (outcome === "late") count.late++;
  else count.refused++;
}
