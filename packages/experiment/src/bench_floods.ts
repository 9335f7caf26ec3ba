/**
 * Measures a gateway under peers that send bytes without end: its memory, and how callers of
 * its sound services are served beside them.
 * @module
 */
import { CallerFlood, ServerFlood, StoreFlood } from "@bitternfall/stand-ins";
import {
  describeCase,
  type FloodCase,
  type FloodedCall,
  FloodPeer,
  StoreCall,
} from "./flood_case.ts";
import { type FloodResult, runFloodTrial } from "./flood_trial.ts";
import type { ProcessPorts } from "./gateway_process.ts";
import type { ResultLine } from "./report_lines.ts";

const CALLS = [1, 5, 40];
const BODY_FLOODS = [
  ServerFlood.BodyByLength,
  ServerFlood.BodyInChunks,
  ServerFlood.UnframedBody,
];
/** Floods of events, which only a decode server sends. */
const EVENT_FLOODS = new Set([
  ServerFlood.Comments,
  ServerFlood.BlankEventLines,
  ServerFlood.RetryLines,
  ServerFlood.EndlessEvent,
  ServerFlood.TinyEvents,
  ServerFlood.TinyEventsInChunks,
]);
const OTHER_PORTS: (keyof ProcessPorts)[] = [
  "peerPort",
  "readyPort",
  "metricsPort",
];
const CALLER_CALLS: { readonly [kind in CallerFlood]?: readonly number[] } = {
  [CallerFlood.OneByteChunks]: [1, 4],
  [CallerFlood.ShortOneByteChunks]: [20],
};

/** Measures each case whose description contains `match`. */
export async function* benchFloods(
  { match = "" }: { match?: string | undefined },
): AsyncIterable<ResultLine> {
  for (const floodCase of listCases()) {
    const name = describeCase(floodCase);
    if (!name.includes(match)) continue;
    const result = await runFloodTrial(floodCase);
    yield {
      name,
      value: describeResult(result),
      ok: result.faults.length === 0,
    };
  }
}

function* listCases(): Iterable<FloodCase> {
  const kinds = Object.values(ServerFlood);
  const unstreamed = kinds.filter((kind) => !EVENT_FLOODS.has(kind));
  for (const peer of [FloodPeer.Plain, FloodPeer.Decode] as const) {
    for (const kind of peer === FloodPeer.Plain ? unstreamed : kinds) {
      for (const calls of CALLS) yield { peer, kind, calls };
    }
    for (const kind of BODY_FLOODS) {
      yield { peer, kind, calls: Math.max(...CALLS), isUnread: true };
    }
  }
  for (const kind of unstreamed) {
    for (const calls of CALLS) yield { peer: FloodPeer.Prefill, kind, calls };
  }
  for (const kind of [...unstreamed, ...Object.values(StoreFlood)]) {
    if (kind === StoreFlood.HistoryGone) continue;
    for (const call of Object.values(StoreCall)) {
      yield { peer: FloodPeer.ObjectApi, kind, call };
    }
  }
  for (const kind of Object.values(CallerFlood)) {
    for (const calls of CALLER_CALLS[kind] ?? CALLS) {
      yield { peer: FloodPeer.Caller, kind, calls, port: "callerPort" };
    }
    const calls = Math.max(...CALLER_CALLS[kind] ?? CALLS);
    for (const port of OTHER_PORTS) {
      yield { peer: FloodPeer.Caller, kind, calls, port };
    }
  }
}

function describeResult(result: FloodResult): string {
  const { peakMb, calmP99Ms, p99Ms, answered, unanswered } = result;
  const { report, faults } = result;
  const ends = new Map<string, FloodedCall[]>();
  for (const call of report.calls) {
    const end = describeEnd(call);
    ends.set(end, [...ends.get(end) ?? [], call]);
  }
  const outcomes = [...ends].map(([end, calls]) =>
    `${calls.length} x ${end} in ${
      Math.round(Math.max(...calls.map(({ ms }) => ms)))
    } ms`
  );
  return [
    `peak ${peakMb} MB`,
    `others' p99 ${Math.round(p99Ms)} ms beside ${Math.round(calmP99Ms)} ms`,
    `${answered} served, ${unanswered} not`,
    ...outcomes.length > 0 ? outcomes : [`${report.floods} floods`],
    ...faults.map((fault) => `NOT: ${fault}`),
  ].join("; ");
}

function describeEnd({ status, isWhole, hasEnded }: FloodedCall): string {
  const text = status === 0 ? "no answer" : String(status);
  const cut = status === 0 || isWhole ? "" : " cut";
  return hasEnded ? text + cut : `${text} until the caller left`;
}
