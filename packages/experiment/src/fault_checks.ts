/**
 * Holds what callers and operators were told against the stand-ins' ledgers.
 * @module
 */
import type { ServiceRun } from "@bitternfall/stand-ins";
import { type Deployment, OPERATOR_TOKEN } from "./deployment.ts";
import type { FaultRecord } from "./fault_actions.ts";
import type { CallRecord } from "./fault_load.ts";
import {
  type ConfigMonitor,
  type HeldMonitor,
  RACED_RECORD,
} from "./fault_monitor.ts";
import type { ResultLine } from "./report_lines.ts";

/** What a run left behind. */
export interface FaultEvidence {
  readonly deployment: Deployment;
  readonly calls: readonly CallRecord[];
  readonly faults: FaultRecord;
  readonly held: HeldMonitor;
  readonly config: ConfigMonitor;
}

interface EngineEvidence {
  readonly starts: readonly { requestId: string; tag: string; at: number }[];
  readonly held: readonly unknown[];
}

interface ServedRun extends ServiceRun {
  readonly server: string;
}

const ORPHAN_LIMIT_MS = 3000;
const LEAVING_LIMIT_MS = 3000;
const CONFIG_LIMIT_MS = 5000;

/** Checks one run; each line with `ok` is a promise of the brief. */
export async function checkFaultRun(
  evidence: FaultEvidence,
): Promise<ResultLine[]> {
  const { deployment, held, config, faults } = evidence;
  const runs = await readServiceRuns(deployment);
  const engines = await readEngines(deployment);
  const history = await readHistory(deployment);
  const cut = evidence.calls.filter((call) => isLost(call, faults));
  const lagMs = getConfigLag(config, faults);
  return [
    ...countCalls(evidence.calls),
    count("claims that ran twice", countDoubleRuns(evidence.calls, runs)),
    count(
      "calls told not-run that ran",
      countWrongNotRun(evidence.calls, { runs, engines }),
    ),
    count(
      "answers that were not the caller's own",
      evidence.calls.filter(isWrongAnswer).length,
    ),
    count(
      "answers that broke off silently",
      evidence.calls.filter((call) => isSilentEnd(call, faults)).length,
    ),
    count("calls lost or cut on running VMs", cut.length, cut[0]),
    {
      name: `decode memory held for nobody, at most (${held.worst.where})`,
      value: Math.round(held.worst.ms),
      unit: "ms",
      target: ORPHAN_LIMIT_MS,
      ok: held.worst.ms <= ORPHAN_LIMIT_MS,
    },
    count(
      "streams still held at the end",
      engines.reduce((sum, engine) => sum + engine.held.length, 0),
    ),
    count(
      "work started on leaving upstreams after 3 s",
      countLateStarts(evidence, { runs, engines }),
    ),
    {
      name: "accepted change in force on every undisturbed VM after, at most",
      value: Math.round(lagMs),
      unit: "ms",
      target: CONFIG_LIMIT_MS,
      ok: lagMs <= CONFIG_LIMIT_MS,
    },
    count("records that went back", config.reverted),
    count(
      "accepted changes missing from the history",
      countMissing(config, history),
    ),
    count(
      "refused changes that stand in the history",
      countUnwanted(config, history),
    ),
    count(
      "drains that did not exit with 0",
      faults.drains.filter(({ code }) => code !== 0).length,
    ),
  ];
}

function count(name: string, value: number, example?: CallRecord): ResultLine {
  const shown = example === undefined
    ? name
    : `${name} (${example.kind} ${example.tag} on ${example.vm})`;
  return { name: shown, value, target: 0, ok: value === 0 };
}

function countCalls(calls: readonly CallRecord[]): ResultLine[] {
  const lines: ResultLine[] = [];
  for (const kind of ["model", "lookup", "claim"] as const) {
    const own = calls.filter((call) => call.kind === kind);
    const whole = own.filter((call) => call.result?.whole === true).length;
    lines.push({
      name: `${kind} calls answered whole`,
      value: `${whole} of ${own.length}`,
    });
  }
  return lines;
}

function countDoubleRuns(
  calls: readonly CallRecord[],
  runs: readonly ServiceRun[],
): number {
  const byClaim = new Map<string, number>();
  const keys = new Map(calls.map((call) => [call.tag, call.key ?? call.tag]));
  for (const { tag, method } of runs) {
    const claim = keys.get(tag);
    if (method === "POST" && claim !== undefined) {
      byClaim.set(claim, (byClaim.get(claim) ?? 0) + 1);
    }
  }
  return [...byClaim.values()].filter((times) => times > 1).length;
}

function countWrongNotRun(
  calls: readonly CallRecord[],
  ledgers: { runs: readonly ServiceRun[]; engines: readonly EngineEvidence[] },
): number {
  const ran = new Set(ledgers.runs.map((run) => run.tag));
  const begun = new Set(
    ledgers.engines.flatMap((engine) =>
      engine.starts.map((start) => start.tag)
    ),
  );
  return calls.filter((call) => {
    if (call.result?.outcome !== "not-run") return false;
    if (call.kind !== "model") return ran.has(call.tag);
    return call.key === undefined && begun.has(call.tag);
  }).length;
}

function isWrongAnswer(call: CallRecord): boolean {
  const { result, expected, kind, tag } = call;
  if (result?.whole !== true) return false;
  if (expected !== undefined) return result.text !== expected;
  // A repeat under a key may get the answer to the first call of that key.
  const name = kind === "claim" ? tag.split(".")[0]! : tag;
  const answered = (JSON.parse(result.text) as { tag?: string }).tag ?? "";
  return answered !== name && answered.split(".")[0] !== name;
}

function isSilentEnd(call: CallRecord, faults: FaultRecord): boolean {
  const { result } = call;
  if (
    call.left || result === undefined || result.failed || result.status !== 200
  ) return false;
  const named = result.outcome === "unknown" || result.outcome === "not-run";
  return !result.whole && !named && !isDisturbed(call, faults);
}

function isLost(call: CallRecord, faults: FaultRecord): boolean {
  return call.result?.failed === true && !call.left &&
    !isDisturbed(call, faults);
}

function isDisturbed(
  call: { vm: string; startedAt: number; endedAt: number },
  faults: FaultRecord,
): boolean {
  return faults.disturbed.some(({ vm, from, to }) =>
    vm === call.vm && call.startedAt <= to && call.endedAt >= from
  );
}

function countLateStarts(
  evidence: FaultEvidence,
  ledgers: { runs: readonly ServedRun[]; engines: readonly EngineEvidence[] },
): number {
  const { deployment, faults } = evidence;
  const engineIds = Object.values(deployment.spec.engines).flat().map((
    engine,
  ) => engine.id);
  let late = 0;
  for (const { id, from, to } of faults.leaving) {
    const engine = ledgers.engines[engineIds.indexOf(id)];
    const starts = engine === undefined
      ? ledgers.runs.filter((run) => run.server === id)
      : engine.starts;
    late += starts.filter(({ at }) =>
      at > from + LEAVING_LIMIT_MS && at < to
    ).length;
  }
  return late;
}

/** Longest time from an accepted change to its being in force on VMs that ran all along. */
function getConfigLag(config: ConfigMonitor, faults: FaultRecord): number {
  let worst = 0;
  const vms = new Set(config.seen.map((seen) => seen.vm));
  for (const { version, acceptedAt } of config.changes) {
    if (version === 0) continue;
    for (const vm of vms) {
      const reached = config.seen.find((seen) =>
        seen.vm === vm && seen.version >= version
      );
      const before = config.seen.some((seen) =>
        seen.vm === vm && seen.at < acceptedAt
      );
      const span = {
        vm: vm.split(".")[0]!,
        startedAt: acceptedAt,
        endedAt: reached?.at ?? acceptedAt,
      };
      if (reached === undefined || !before || isDisturbed(span, faults)) {
        continue;
      }
      worst = Math.max(worst, reached.at - acceptedAt);
    }
  }
  return worst;
}

function countMissing(
  config: ConfigMonitor,
  history: ReadonlySet<string>,
): number {
  return config.changes.filter(({ version, changeId }) =>
    version > 0 && !history.has(changeId)
  ).length;
}

function countUnwanted(
  config: ConfigMonitor,
  history: ReadonlySet<string>,
): number {
  const REFUSED = new Set([400, 409, 503]);
  return config.changes.filter(({ status, changeId }) =>
    REFUSED.has(status) && history.has(changeId)
  ).length;
}

async function readServiceRuns(deployment: Deployment): Promise<ServedRun[]> {
  const servers = Object.values(deployment.spec.services).flat();
  const ledgers = await Promise.all(servers.map(async ({ id }) => {
    const runs = await deployment.readStandIn<ServiceRun[]>(id, "_ledger");
    return runs.map((run) => ({ ...run, server: id }));
  }));
  return ledgers.flat();
}

async function readEngines(deployment: Deployment): Promise<EngineEvidence[]> {
  const engines = Object.values(deployment.spec.engines).flat();
  return await Promise.all(
    engines.map(({ id }) =>
      deployment.readStandIn<EngineEvidence>(id, "_ledger")
    ),
  );
}

/** Change ids in the stored history of the raced record. */
async function readHistory(deployment: Deployment): Promise<Set<string>> {
  const vm = deployment.vms.find((one) => one.state === "up")!;
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
