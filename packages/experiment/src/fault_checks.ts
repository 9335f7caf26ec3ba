/**
 * Checks the responses to callers and operators in a fault run against the stand-ins'
 * ledgers.
 * @module
 */
import type { ServiceRun } from "@bitternfall/stand-ins";
import { type Deployment, OPERATOR_TOKEN } from "./deployment.ts";
import type { InjectedFaults } from "./fault_injector.ts";
import type { CallRecord } from "./fault_load.ts";
import {
  type ConfigMonitor,
  type OrphanedMemoryMonitor,
  RACED_RECORD,
} from "./fault_monitor.ts";
import type { ResultLine } from "./report_lines.ts";

/** What the checks of a run evaluate. */
export interface FaultEvidence {
  readonly deployment: Deployment;
  readonly calls: readonly CallRecord[];
  readonly faults: InjectedFaults;
  readonly orphanedMemory: OrphanedMemoryMonitor;
  readonly configMonitor: ConfigMonitor;
}

/** Ledger of a stand-in engine. */
interface EngineEvidence {
  readonly starts: readonly { requestId: string; tag: string; at: number }[];
  readonly held: readonly unknown[];
}

/** A call that a service server ran. */
interface ServerRun extends ServiceRun {
  readonly server: string;
}

/** Longest time that decode memory may outlive its caller. */
const MAX_ORPHANED_MEMORY_MS = 3000;
/** Time after which no work may start on an upstream that the VM list shows as leaving. */
const LEAVING_NOTICE_MS = 3000;
/** Longest time from the acceptance of a change until each VM has applied it. */
const MAX_CONFIG_LAG_MS = 5000;

/** Retries that each VM process may send: this share of its calls, and these at its start. */
const RETRY_SHARE = 0.1;
const INITIAL_RETRIES = 2;

/** Checks one run; a line with `ok` is a guarantee, the others are for information. */
export async function checkFaultRun(
  evidence: FaultEvidence,
): Promise<ResultLine[]> {
  const { deployment, orphanedMemory, configMonitor, faults } = evidence;
  const runs = await readServiceRuns(deployment);
  const engines = await readEngineLedgers(deployment);
  const history = await readHistoryChangeIds(deployment);
  const lostCalls = evidence.calls.filter((call) =>
    isConnectionLost(call, faults)
  );
  const configLagMs = getConfigLag(configMonitor, faults);
  const repeatedLookups = countRepeatedLookups(evidence.calls, runs);
  const maxRepeatedLookups = getMaxRepeatedLookups(evidence);
  return [
    ...summarizeCalls(evidence.calls),
    createCountLine(
      "claims that ran twice",
      countDuplicateRuns(evidence.calls, runs),
    ),
    {
      name: "lookups that ran again, within the retry budgets of the VMs",
      value: repeatedLookups,
      target: maxRepeatedLookups,
      ok: repeatedLookups <= maxRepeatedLookups,
    },
    createCountLine(
      "calls told not-run that ran",
      countFalseNotRun(evidence.calls, { runs, engines }),
    ),
    createCountLine(
      "answers that were not the caller's own",
      evidence.calls.filter(hasWrongResponse).length,
    ),
    createCountLine(
      "answers that broke off silently",
      evidence.calls.filter((call) => isSilentlyTruncated(call, faults)).length,
    ),
    createCountLine(
      "calls lost or cut on running VMs",
      lostCalls.length,
      lostCalls[0],
    ),
    {
      name:
        `decode memory held for nobody, at most (${orphanedMemory.longest.location})`,
      value: Math.round(orphanedMemory.longest.ms),
      unit: "ms",
      target: MAX_ORPHANED_MEMORY_MS,
      ok: orphanedMemory.longest.ms <= MAX_ORPHANED_MEMORY_MS,
    },
    createCountLine(
      "streams still held at the end",
      engines.reduce((sum, engine) => sum + engine.held.length, 0),
    ),
    createCountLine(
      "work started on leaving upstreams after 3 s",
      countStartsOnLeaving(evidence, { runs, engines }),
    ),
    {
      name: "accepted change in force on every undisturbed VM after, at most",
      value: Math.round(configLagMs),
      unit: "ms",
      target: MAX_CONFIG_LAG_MS,
      ok: configLagMs <= MAX_CONFIG_LAG_MS,
    },
    createCountLine("records that went back", configMonitor.regressions),
    createCountLine(
      "accepted changes missing from the history",
      countMissingFromHistory(configMonitor, history),
    ),
    createCountLine(
      "refused changes that stand in the history",
      countRefusedInHistory(configMonitor, history),
    ),
    createCountLine(
      "drains that did not exit with 0",
      faults.drains.filter(({ code }) => code !== 0).length,
    ),
  ];
}

/** Creates the line of a check that passes only with a count of 0. */
function createCountLine(
  name: string,
  value: number,
  example?: CallRecord,
): ResultLine {
  const lineName = example === undefined
    ? name
    : `${name} (${example.kind} ${example.tag} on ${example.vm})`;
  return { name: lineName, value, target: 0, ok: value === 0 };
}

function summarizeCalls(calls: readonly CallRecord[]): ResultLine[] {
  const lines: ResultLine[] = [];
  for (const kind of ["model", "lookup", "claim"] as const) {
    const callsOfKind = calls.filter((call) => call.kind === kind);
    const completeCount = callsOfKind.filter((call) =>
      call.result?.whole === true
    ).length;
    lines.push({
      name: `${kind} calls answered whole`,
      value: `${completeCount} of ${callsOfKind.length}`,
    });
  }
  return lines;
}

/** Counts the claims that ran more than once; runs under one key are the same claim. */
function countDuplicateRuns(
  calls: readonly CallRecord[],
  runs: readonly ServiceRun[],
): number {
  const runCounts = new Map<string, number>();
  const claimsByTag = new Map(
    calls.map((call) => [call.tag, call.key ?? call.tag]),
  );
  for (const { tag, method } of runs) {
    const claim = claimsByTag.get(tag);
    if (method === "POST" && claim !== undefined) {
      runCounts.set(claim, (runCounts.get(claim) ?? 0) + 1);
    }
  }
  return [...runCounts.values()].filter((times) => times > 1).length;
}

/** Counts the runs of lookups beyond the first run of each. */
function countRepeatedLookups(
  calls: readonly CallRecord[],
  runs: readonly ServiceRun[],
): number {
  const tags = new Set(
    calls.filter(({ kind }) => kind === "lookup").map(({ tag }) => tag),
  );
  const lookupRuns = runs.filter(({ tag }) => tags.has(tag));
  return lookupRuns.length - new Set(lookupRuns.map(({ tag }) => tag)).size;
}

/** Lookups that the budgets of all VM processes together allow to run again. */
function getMaxRepeatedLookups(
  { calls, deployment, faults }: FaultEvidence,
): number {
  const lookups = calls.filter(({ kind }) => kind === "lookup").length;
  const processes = deployment.vms.length + faults.outages.length +
    faults.drains.length;
  return Math.floor(RETRY_SHARE * lookups + INITIAL_RETRIES * processes);
}

/**
 * Counts calls with the outcome `not-run` that ran all the same. Model requests with a key
 * are left out: their attempts share a tag, so that another attempt may have run.
 */
function countFalseNotRun(
  calls: readonly CallRecord[],
  ledgers: { runs: readonly ServiceRun[]; engines: readonly EngineEvidence[] },
): number {
  const ranTags = new Set(ledgers.runs.map((run) => run.tag));
  const startedTags = new Set(
    ledgers.engines.flatMap((engine) =>
      engine.starts.map((start) => start.tag)
    ),
  );
  return calls.filter((call) => {
    if (call.result?.outcome !== "not-run") return false;
    if (call.kind !== "model") return ranTags.has(call.tag);
    return call.key === undefined && startedTags.has(call.tag);
  }).length;
}

function hasWrongResponse(call: CallRecord): boolean {
  const { result, expected, kind, tag } = call;
  if (result?.whole !== true) return false;
  if (expected !== undefined) return result.text !== expected;
  // A retry with the same key may get the response to the first call with that key.
  const requestName = kind === "claim" ? tag.split(".")[0]! : tag;
  const ranTag = (JSON.parse(result.text) as { tag?: string }).tag ?? "";
  return ranTag !== requestName && ranTag.split(".")[0] !== requestName;
}

/** Whether a response with status 200 ended early without stating the outcome. */
function isSilentlyTruncated(
  call: CallRecord,
  faults: InjectedFaults,
): boolean {
  const { result } = call;
  if (
    call.left || result === undefined || result.failed || result.status !== 200
  ) return false;
  const isOutcomeStated = result.outcome === "unknown" ||
    result.outcome === "not-run";
  return !result.whole && !isOutcomeStated && !overlapsOutage(call, faults);
}

function isConnectionLost(call: CallRecord, faults: InjectedFaults): boolean {
  return call.result?.failed === true && !call.left &&
    !overlapsOutage(call, faults);
}

/** Whether the VM was killed or paused during a call or another span of time. */
function overlapsOutage(
  call: { vm: string; startedAt: number; endedAt: number },
  faults: InjectedFaults,
): boolean {
  return faults.outages.some(({ vm, from, to }) =>
    vm === call.vm && call.startedAt <= to && call.endedAt >= from
  );
}

/** Counts the work that started on leaving upstreams after LEAVING_NOTICE_MS. */
function countStartsOnLeaving(
  evidence: FaultEvidence,
  ledgers: { runs: readonly ServerRun[]; engines: readonly EngineEvidence[] },
): number {
  const { deployment, faults } = evidence;
  const engineIds = Object.values(deployment.spec.engines).flat().map((
    engine,
  ) => engine.id);
  let lateStarts = 0;
  for (const { id, from, to } of faults.leavingPeriods) {
    const engine = ledgers.engines[engineIds.indexOf(id)];
    const starts = engine === undefined
      ? ledgers.runs.filter((run) => run.server === id)
      : engine.starts;
    lateStarts += starts.filter(({ at }) =>
      at > from + LEAVING_NOTICE_MS && at < to
    ).length;
  }
  return lateStarts;
}

/**
 * Returns the longest time from the acceptance of a change until a VM had applied it.
 * Left out are processes that started after the acceptance, those whose VM was killed or
 * paused meanwhile, and those that never showed the version.
 */
function getConfigLag(
  configMonitor: ConfigMonitor,
  faults: InjectedFaults,
): number {
  let longestLagMs = 0;
  const processKeys = new Set(
    configMonitor.observedVersions.map((seen) => seen.processKey),
  );
  for (const { version, acceptedAt } of configMonitor.changes) {
    if (version === 0) continue;
    for (const processKey of processKeys) {
      const applied = configMonitor.observedVersions.find((seen) =>
        seen.processKey === processKey && seen.version >= version
      );
      const wasRunningBefore = configMonitor.observedVersions.some((seen) =>
        seen.processKey === processKey && seen.observedAt < acceptedAt
      );
      const propagation = {
        vm: processKey.split(".")[0]!,
        startedAt: acceptedAt,
        endedAt: applied?.observedAt ?? acceptedAt,
      };
      if (
        applied === undefined || !wasRunningBefore ||
        overlapsOutage(propagation, faults)
      ) {
        continue;
      }
      longestLagMs = Math.max(longestLagMs, applied.observedAt - acceptedAt);
    }
  }
  return longestLagMs;
}

/** Counts accepted changes that the stored history lacks. */
function countMissingFromHistory(
  configMonitor: ConfigMonitor,
  history: ReadonlySet<string>,
): number {
  return configMonitor.changes.filter(({ version, changeId }) =>
    version > 0 && !history.has(changeId)
  ).length;
}

/** Counts refused changes that the stored history contains. */
function countRefusedInHistory(
  configMonitor: ConfigMonitor,
  history: ReadonlySet<string>,
): number {
  const REFUSAL_STATUSES = new Set([400, 409, 503]);
  return configMonitor.changes.filter(({ status, changeId }) =>
    REFUSAL_STATUSES.has(status) && history.has(changeId)
  ).length;
}

async function readServiceRuns(deployment: Deployment): Promise<ServerRun[]> {
  const servers = Object.values(deployment.spec.services).flat();
  const ledgers = await Promise.all(servers.map(async ({ id }) => {
    const runs = await deployment.readStandIn<ServiceRun[]>(id, "_ledger");
    return runs.map((run) => ({ ...run, server: id }));
  }));
  return ledgers.flat();
}

async function readEngineLedgers(
  deployment: Deployment,
): Promise<EngineEvidence[]> {
  const engines = Object.values(deployment.spec.engines).flat();
  return await Promise.all(
    engines.map(({ id }) =>
      deployment.readStandIn<EngineEvidence>(id, "_ledger")
    ),
  );
}

/** Reads the change ids in the stored history of the raced record. */
async function readHistoryChangeIds(
  deployment: Deployment,
): Promise<Set<string>> {
  const vm = deployment.vms.find((candidate) => candidate.state === "up")!;
  const address =
    `${vm.operatorUrl}/v1/history/${RACED_RECORD.kind}/${RACED_RECORD.name}`;
  const res = await fetch(address, {
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
  });
  const { entries = [] } = await res.json() as {
    entries?: { changeId: string }[];
  };
  return new Set(entries.map((entry) => entry.changeId));
}
