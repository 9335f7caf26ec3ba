/**
 * Evidence of which requests, or parts of their prompts, crash the servers of one service,
 * and the verdicts that follow from it. Replicas of the evidence converge when they are
 * merged, in any order.
 *
 * A server that ends leaves a report for each request for which it had not written anything
 * yet. Its parts are those of the prompt and the whole request, which comes again with
 * another id. A part is blamed if enough server processes ended under it and no run with it has
 * begun since. Several parts of a prompt that are equally suspect are blocked only together,
 * until runs that begin and further reports tell them apart. A blocked request may be tried
 * a few times, each time at one server; a verdict on a sound one ends with its first run.
 * @module
 */

import { type Clock, monotonicNow } from "@bitternfall/types";

/** A server process that ended before it wrote anything for a request. */
export interface CrashReport {
  /** Identifies the server process; a server that starts again is another process. */
  readonly process: string;
  readonly requestId: string;
  /** Hashes of the parts of the request that may have ended the server. */
  readonly parts: readonly number[];
}

/** Set in the hash of a whole request, and not in that of a part of a prompt. */
const WHOLE_REQUEST_BIT = 2 ** 29;

/** Makes a hash of 30 bits that of a whole request. */
export function toRequestPart(hash: number): number {
  return hash | WHOLE_REQUEST_BIT;
}

/** Makes a hash of 30 bits that of a part of a prompt. */
export function toPromptPart(hash: number): number {
  return hash & ~WHOLE_REQUEST_BIT;
}

function isWholeRequest(part: number): boolean {
  return (part & WHOLE_REQUEST_BIT) !== 0;
}

/** Blocks the prompts that hold all of its parts but the exonerated ones. */
export interface CrashVerdict {
  /** The process whose end decided the verdict. */
  readonly id: string;
  readonly parts: readonly number[];
  /** Parts under which a run has begun since; if these are all, nothing is blocked. */
  readonly exonerated: readonly number[];
  /** Trials of requests that it blocks. */
  readonly trials: number;
}

/** State of a {@link CrashEvidence}, as exchanged between VMs and stored. */
export interface CrashRecord {
  readonly reports: readonly CrashReport[];
  readonly verdicts: readonly CrashVerdict[];
  /** Parts of reports under which runs have begun later. */
  readonly cleared: readonly number[];
}

/** What a VM knows at first. */
export const EMPTY_CRASH_RECORD: CrashRecord = {
  reports: [],
  verdicts: [],
  cleared: [],
};

/** Weight of the crashes under a part that suffices if nothing contradicts it. */
const CLEAR_WEIGHT = 3;
/** Weight that suffices where one request, or another part, may explain the crashes too. */
const DOUBTFUL_WEIGHT = 5;
/** Weight of a crash that a verdict on other parts explains; others weigh 1. */
const EXPLAINED_WEIGHT = 0.5;
/** Trials of a blocked whole request, one more where others explain it, and of other parts. */
const MAX_REQUEST_TRIALS = 1;
const MAX_PART_TRIALS = 2;
/** Further trials while they show nothing. */
const MAX_INCONCLUSIVE_TRIALS = 2;
const DEFAULT_TRIAL_DELAY_MS = 1000;
const DEFAULT_SIMULTANEOUS_MS = 500;
const MAX_REPORTS = 256;
const MAX_VERDICTS = 256;
const MAX_PROVEN_PARTS = 4096;
const MAX_CLEARED_PARTS = 256;

interface KnownReport extends Omit<CrashReport, "parts"> {
  readonly parts: Set<number>;
  /** Runs that had begun when the report was added here, and the time. */
  readonly runsBefore: number;
  readonly addedAt: number;
}

interface KnownVerdict extends Omit<CrashVerdict, "exonerated" | "trials"> {
  readonly exonerated: Set<number>;
  trials: number;
  /** Time of the next trial at the earliest. */
  nextTrialAt: number;
  /** Processes that had ended under its parts when it was last tried; undefined before. */
  endsWhenTried: number | undefined;
}

/** Options of a {@link CrashEvidence}. */
export interface CrashEvidenceOptions {
  readonly now?: Clock;
  /** Time from a verdict, or a trial, until a blocked request may be tried. */
  readonly trialDelayMs?: number;
  /** Crashes within this time may have one cause that is no request. */
  readonly simultaneousMs?: number;
  /** Called after a run has begun with parts that reports had named. */
  readonly onCleared?: () => void;
  /** Called after a verdict was added or has changed. */
  readonly onVerdict?: (verdict: CrashVerdict) => void;
}

/** Evidence on the requests of one service. */
export class CrashEvidence {
  readonly #options: CrashEvidenceOptions;
  readonly #reports = new Map<string, KnownReport>();
  readonly #verdicts = new Map<string, KnownVerdict>();
  /** Parts under which runs have begun, the last ones last. */
  readonly #provenParts = new Map<number, true>();
  /** Parts that were taken out of reports. */
  readonly #cleared = new Map<number, true>();
  /** Keys of the reports that were not judged yet. */
  readonly #unjudged = new Set<string>();
  #runsBegun = 0;
  readonly #now: Clock;

  constructor(options: CrashEvidenceOptions = {}) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Adds what this VM or another replica knows; returns whether anything was new. */
  merge({ reports, verdicts, cleared }: CrashRecord): boolean {
    let isChanged = false;
    for (const part of cleared) isChanged = this.#clear(part) || isChanged;
    for (const verdict of verdicts) {
      isChanged = this.#mergeVerdict(verdict) || isChanged;
    }
    for (const report of reports) {
      isChanged = this.#mergeReport(report) || isChanged;
    }
    return isChanged;
  }

  /** Draws conclusions from the reports that were added since the last call. */
  judge(): void {
    for (const key of this.#unjudged) {
      const report = this.#reports.get(key);
      if (report !== undefined) this.#judgeReport(report);
    }
    this.#unjudged.clear();
  }

  /**
   * Records that a run with these parts has begun, which none of them prevented. Returns what
   * other replicas have to know of it: the reports that have changed, and the parts that were
   * taken out of them.
   */
  recordBegin(parts: readonly number[]): CrashRecord {
    this.#runsBegun++;
    for (const part of parts) {
      this.#provenParts.delete(part);
      this.#provenParts.set(part, true);
    }
    dropOldest(this.#provenParts, MAX_PROVEN_PARTS);
    const reports: CrashReport[] = [];
    const cleared = new Set<number>();
    for (const report of this.#reports.values()) {
      const removed = parts.filter((part) => report.parts.delete(part));
      if (removed.length === 0) continue;
      for (const part of removed) cleared.add(part);
      reports.push(toReport(report));
    }
    for (const part of cleared) this.#clear(part);
    for (const verdict of this.#verdicts.values()) {
      const { parts: blamed, exonerated } = verdict;
      const proven = blamed.filter((part) =>
        parts.includes(part) && !exonerated.has(part)
      );
      if (proven.length > 0) this.#exonerate(verdict, proven);
    }
    if (reports.length > 0) this.#options.onCleared?.();
    return { ...EMPTY_CRASH_RECORD, reports, cleared: [...cleared] };
  }

  /** Whether a blocked request with these parts may be tried now. */
  isTrialDue(parts: readonly number[]): boolean {
    return this.#listBlocking(parts).every((verdict) =>
      verdict.nextTrialAt + this.#getExtraDelayMs(verdict) <= this.#now()
    );
  }

  /** Counts a trial, if it is due; returns whether it may take place. */
  startTrial(parts: readonly number[]): boolean {
    if (!this.isTrialDue(parts)) return false;
    for (const verdict of this.#listBlocking(parts)) {
      const trials = verdict.trials + 1;
      this.#mergeVerdict({ ...verdict, exonerated: [], trials });
    }
    return true;
  }

  /** Whether anything is known against some whole request. */
  get suspectsRequests(): boolean {
    for (const { parts } of this.#reports.values()) {
      for (const part of parts) if (isWholeRequest(part)) return true;
    }
    return this.listBlocked().some((blamed) => blamed.some(isWholeRequest));
  }

  /** Number of processes that ended under a part and were not explained by a run since. */
  countEnds(part: number): number {
    return this.#listProcesses([part]).size;
  }

  /** Whether a request with these parts may reach no server. */
  blocks(parts: readonly number[]): boolean {
    return this.#listBlocking(parts).length > 0;
  }

  /** The sets of parts that are blocked now. */
  listBlocked(): number[][] {
    return [...this.#verdicts.values()].map(listBlamed)
      .filter((parts) => parts.length > 0);
  }

  /** Everything that another replica has to know; reports without suspects are left out. */
  export(): CrashRecord {
    const reports = [...this.#reports.values()].filter(({ parts }) =>
      parts.size > 0
    );
    return {
      reports: reports.map(toReport),
      verdicts: [...this.#verdicts.values()].map(toVerdict),
      cleared: [...this.#cleared.keys()],
    };
  }

  /** Whether a replica in this state lacks something that is known here. */
  isMissingFrom(record: CrashRecord): boolean {
    const other = new CrashEvidence();
    other.merge(record);
    return other.merge(this.export());
  }

  /** Forgets everything. */
  clear(): void {
    this.#reports.clear();
    this.#verdicts.clear();
    this.#cleared.clear();
    this.#unjudged.clear();
  }

  /** The verdicts that block a request with these parts. */
  #listBlocking(parts: readonly number[]): KnownVerdict[] {
    return [...this.#verdicts.values()].filter((verdict) => {
      const blamed = listBlamed(verdict);
      return blamed.length > 0 && blamed.every((part) => parts.includes(part));
    });
  }

  #exonerate(verdict: KnownVerdict, exonerated: readonly number[]): void {
    this.#mergeVerdict({ ...verdict, exonerated });
  }

  /** Returns whether it was not known that a run with the part has begun. */
  #clear(part: number): boolean {
    if (this.#cleared.has(part)) return false;
    this.#cleared.set(part, true);
    dropOldest(this.#cleared, MAX_CLEARED_PARTS);
    return true;
  }

  /** Returns whether the verdict, an exonerated part or a trial was not known. */
  #mergeVerdict({ id, parts, exonerated, trials }: CrashVerdict): boolean {
    const known = this.#verdicts.get(id);
    const verdict = known ?? {
      id,
      parts,
      exonerated: new Set<number>(),
      trials,
      nextTrialAt: 0,
      endsWhenTried: undefined,
    };
    const before = verdict.exonerated.size;
    for (const part of exonerated) verdict.exonerated.add(part);
    const isTried = trials > verdict.trials;
    const isChanged = known === undefined || isTried ||
      verdict.exonerated.size > before;
    if (!isChanged) return false;
    if (known === undefined || isTried) {
      verdict.nextTrialAt = this.#now() + this.#trialDelayMs;
    }
    if (isTried) verdict.endsWhenTried = this.#countVerdictEnds(verdict);
    verdict.trials = Math.max(verdict.trials, trials);
    this.#verdicts.set(id, verdict);
    dropOldest(this.#verdicts, MAX_VERDICTS);
    this.#options.onVerdict?.(toVerdict(verdict));
    return true;
  }

  /** Returns whether the report was not known, or named more parts before. */
  #mergeReport({ process, requestId, parts }: CrashReport): boolean {
    const key = `${process} ${requestId}`;
    const known = this.#reports.get(key);
    if (known !== undefined) {
      // Parts are only ever taken out of a report.
      const before = known.parts.size;
      for (const part of known.parts) {
        if (!parts.includes(part)) known.parts.delete(part);
      }
      return known.parts.size < before;
    }
    const report = { process, requestId, parts: new Set(parts) };
    this.#reports.set(key, {
      ...report,
      runsBefore: this.#runsBegun,
      addedAt: this.#now(),
    });
    this.#unjudged.add(key);
    dropOldest(this.#reports, MAX_REPORTS);
    return true;
  }

  #judgeReport(report: KnownReport): void {
    for (const part of report.parts) {
      if (isWholeRequest(part)) this.#judgeRequest(report.process, part);
    }
    this.#judgeParts(report);
  }

  /**
   * Adds a verdict on a whole request once enough processes have ended under it, whatever
   * else they ran: it concerns no other request, and a trial ends it if it is wrong.
   */
  #judgeRequest(process: string, part: number): void {
    if (this.blocks([part]) || this.countEnds(part) < CLEAR_WEIGHT) return;
    if (this.#countRequests([part]) < 2) return;
    const id = `${process} ${part}`;
    this.#mergeVerdict({ id, parts: [part], exonerated: [], trials: 0 });
  }

  /** Adds a verdict if enough crashes weigh on the parts of a report. */
  #judgeParts({ process, parts }: KnownReport): void {
    const explained = this.#listExplained();
    if (this.#verdicts.has(process) || explained.has(process)) return;
    const suspects = [...parts].map((part) => {
      const processes = this.#listProcesses([part]);
      return { part, processes, weight: weigh(processes, explained) };
    });
    const weight = Math.max(0, ...suspects.map((suspect) => suspect.weight));
    if (weight < CLEAR_WEIGHT) return;
    const blamed = suspects.filter((suspect) => suspect.weight === weight);
    const blamedParts = blamed.map(({ part }) => part);
    const hasContrast = this.#hasContrast(blamedParts);
    // The verdict on a whole request concerns no other one.
    const isNarrow = blamedParts.some(isWholeRequest);
    const isClear = (isNarrow ||
      (hasContrast &&
        this.#isSoleSuspect(blamedParts, blamed[0]!.processes))) &&
      this.#countRequests(blamedParts) > 1 &&
      !this.#hasRival(blamedParts, blamed[0]!.processes);
    if (!isClear && weight < DOUBTFUL_WEIGHT) return;
    const suspected = isNarrow
      ? blamedParts.filter(isWholeRequest)
      : blamedParts;
    // Where nothing begins any more, the servers are at fault rather than parts that worked.
    const guilty = hasContrast
      ? suspected
      : suspected.filter((part) =>
        !this.#provenParts.has(part) && !this.#cleared.has(part)
      );
    if (guilty.length === 0) return;
    this.#mergeVerdict({
      id: process,
      parts: guilty,
      exonerated: [],
      trials: isNarrow || !hasContrast
        ? 0
        : this.#countSpentTrials(blamedParts),
    });
    this.#withdrawExplained();
  }

  /**
   * Withdraws verdicts on parts of prompts that were only beside those that end servers. A
   * whole request is tried once more instead, as repeated requests often end servers together.
   */
  #withdrawExplained(): void {
    const explained = [...this.#verdicts.values()].filter((verdict) =>
      !isOnWholeRequest(verdict) && this.#isExplained(verdict)
    );
    for (const verdict of explained) this.#exonerate(verdict, verdict.parts);
  }

  /** Whether each crash under a verdict is also one under a verdict with more of them. */
  #isExplained(verdict: KnownVerdict): boolean {
    const processes = this.#listProcesses(listBlamed(verdict));
    const others = [...this.#verdicts.values()].map((other) =>
      this.#listProcesses(listBlamed(other))
    ).filter(({ size }) => size > processes.size);
    return processes.size > 0 &&
      [...processes].every((process) =>
        others.some((other) => other.has(process))
      );
  }

  /** Time that a trial has to wait beyond the usual delay; Infinity if there are no more. */
  #getExtraDelayMs(verdict: KnownVerdict): number {
    const extraTrials = verdict.trials - this.#getMaxTrials(verdict);
    if (extraTrials < 0) return 0;
    // Neither has a run begun in the last trial nor a server ended.
    const isInconclusive =
      verdict.endsWhenTried === this.#countVerdictEnds(verdict);
    return isInconclusive && extraTrials < MAX_INCONCLUSIVE_TRIALS
      ? 2 * this.#trialDelayMs
      : Infinity;
  }

  get #trialDelayMs(): number {
    return this.#options.trialDelayMs ?? DEFAULT_TRIAL_DELAY_MS;
  }

  #countVerdictEnds(verdict: KnownVerdict): number {
    return this.#listProcesses(listBlamed(verdict)).size;
  }

  #getMaxTrials(verdict: KnownVerdict): number {
    if (!isOnWholeRequest(verdict)) return MAX_PART_TRIALS;
    return MAX_REQUEST_TRIALS + (this.#isExplained(verdict) ? 1 : 0);
  }

  /**
   * Trials with which a verdict on parts of prompts begins as spent, if runs have begun beside
   * them: all but one where the crashes came at one moment, as where a zone is lost, else all.
   */
  #countSpentTrials(parts: readonly number[]): number {
    const times = [...this.#reports.values()].filter((report) =>
      parts.every((part) => report.parts.has(part))
    ).map(({ addedAt }) => addedAt);
    const { simultaneousMs = DEFAULT_SIMULTANEOUS_MS } = this.#options;
    const spreadMs = Math.max(...times) - Math.min(...times);
    return spreadMs <= simultaneousMs ? MAX_PART_TRIALS - 1 : MAX_PART_TRIALS;
  }

  /** Processes that left a report for a request that a verdict blocks. */
  #listExplained(): Set<string> {
    const explained = new Set<string>();
    for (const { process, parts } of this.#reports.values()) {
      if (!explained.has(process) && this.blocks([...parts])) {
        explained.add(process);
      }
    }
    return explained;
  }

  /** Processes that left a report with all of these parts; none for no parts. */
  #listProcesses(parts: readonly number[]): Set<string> {
    const processes = new Set<string>();
    if (parts.length === 0) return processes;
    for (const report of this.#reports.values()) {
      if (parts.every((part) => report.parts.has(part))) {
        processes.add(report.process);
      }
    }
    return processes;
  }

  /** Requests that left reports with all of these parts. */
  #countRequests(parts: readonly number[]): number {
    const requests = new Set<string>();
    for (const report of this.#reports.values()) {
      if (parts.every((part) => report.parts.has(part))) {
        requests.add(report.requestId);
      }
    }
    return requests.size;
  }

  /** Whether one of the processes ended with no other suspect than these parts. */
  #isSoleSuspect(
    parts: readonly number[],
    processes: ReadonlySet<string>,
  ): boolean {
    const others = new Set<string>();
    for (const report of this.#reports.values()) {
      const isSuspect = report.parts.size > 0 &&
        !parts.every((part) => report.parts.has(part));
      if (isSuspect) others.add(report.process);
    }
    return [...processes].some((process) => !others.has(process));
  }

  /** Whether a part of other requests explains the ends of the same processes. */
  #hasRival(
    blamed: readonly number[],
    processes: ReadonlySet<string>,
  ): boolean {
    const candidates = new Set(
      [...this.#reports.values()].flatMap(({ parts }) => [...parts]),
    );
    for (const part of blamed) candidates.delete(part);
    for (const part of candidates) {
      const others = this.#listProcesses([part]);
      if ([...processes].every((process) => others.has(process))) return true;
    }
    return false;
  }

  /** Whether a run of the service has begun since the first report with these parts. */
  #hasContrast(parts: readonly number[]): boolean {
    for (const report of this.#reports.values()) {
      if (!parts.some((part) => report.parts.has(part))) continue;
      if (report.runsBefore < this.#runsBegun) return true;
    }
    return false;
  }
}

function toReport(
  { process, requestId, parts }: Pick<KnownReport, keyof CrashReport>,
): CrashReport {
  return { process, requestId, parts: [...parts] };
}

function toVerdict(
  { id, parts, exonerated, trials }: KnownVerdict,
): CrashVerdict {
  return { id, parts, exonerated: [...exonerated], trials };
}

function isOnWholeRequest(verdict: KnownVerdict): boolean {
  return listBlamed(verdict).some(isWholeRequest);
}

function listBlamed({ parts, exonerated }: KnownVerdict): number[] {
  return parts.filter((part) => !exonerated.has(part));
}

function weigh(
  processes: ReadonlySet<string>,
  explained: ReadonlySet<string>,
): number {
  let weight = 0;
  for (const process of processes) {
    weight += explained.has(process) ? EXPLAINED_WEIGHT : 1;
  }
  return weight;
}

/** Drops the entries that were added first. */
function dropOldest<K>(map: Map<K, unknown>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}
