/**
 * Evidence of which parts of prompts crash the servers of one service, and the verdicts
 * that follow from it. Replicas of the evidence converge when they are merged, in any order.
 *
 * A server that ends leaves a report for each request for which it had not written anything
 * yet. A part is blamed if enough server processes ended under it and no run with it has
 * begun since. Several parts of a prompt that are equally suspect are blocked only together,
 * until runs that begin and further reports tell them apart.
 * @module
 */

/** A server process that ended before it wrote anything for a request. */
export interface CrashReport {
  /** Identifies the server process; a server that starts again is another process. */
  readonly process: string;
  readonly requestId: string;
  /** Hashes of the parts of the prompt that may have ended the server. */
  readonly parts: readonly number[];
}

/** Blocks the prompts that hold all of its parts but the exonerated ones. */
export interface CrashVerdict {
  /** The process whose end decided the verdict. */
  readonly id: string;
  readonly parts: readonly number[];
  /** Parts under which a run has begun since; if these are all, nothing is blocked. */
  readonly exonerated: readonly number[];
}

/** State of a {@link CrashEvidence}, as exchanged between VMs and stored. */
export interface CrashRecord {
  readonly reports: readonly CrashReport[];
  readonly verdicts: readonly CrashVerdict[];
}

/**
 * Server processes that must have ended under a part, for several requests, if nothing else
 * explains their ends and other runs have begun meanwhile.
 */
const CRASHES_FOR_VERDICT = 3;
/** Server processes that suffice where the evidence is weaker. */
const CRASHES_FOR_DOUBTFUL_VERDICT = 5;
const MAX_REPORTS = 64;
const MAX_VERDICTS = 256;
const MAX_PROVEN_PARTS = 4096;

interface KnownReport extends Omit<CrashReport, "parts"> {
  readonly parts: Set<number>;
  /** Runs that had begun when the report was added here. */
  readonly runsBefore: number;
}

interface KnownVerdict extends Omit<CrashVerdict, "exonerated"> {
  readonly exonerated: Set<number>;
}

/** Options of a {@link CrashEvidence}. */
export interface CrashEvidenceOptions {
  /** Called after a verdict was added or has changed. */
  readonly onVerdict?: (verdict: CrashVerdict) => void;
}

/** Evidence on the prompts of one service. */
export class CrashEvidence {
  readonly #options: CrashEvidenceOptions;
  readonly #reports = new Map<string, KnownReport>();
  readonly #verdicts = new Map<string, KnownVerdict>();
  /** Parts under which runs have begun, the last ones last. */
  readonly #provenParts = new Map<number, true>();
  #runsBegun = 0;

  constructor(options: CrashEvidenceOptions = {}) {
    this.#options = options;
  }

  /** Adds a report of this VM; returns false if it is known. */
  add(report: CrashReport): boolean {
    return this.merge({ reports: [report], verdicts: [] });
  }

  /** Adds what another replica knows; returns whether anything of it was new. */
  merge({ reports, verdicts }: CrashRecord): boolean {
    let isChanged = false;
    for (const verdict of verdicts) {
      isChanged = this.#mergeVerdict(verdict) || isChanged;
    }
    for (const report of reports) {
      isChanged = this.#mergeReport(report) || isChanged;
    }
    return isChanged;
  }

  /** Records that a run with these parts has begun, which none of them prevented. */
  recordBegin(parts: readonly number[]): void {
    this.#runsBegun++;
    for (const part of parts) {
      this.#provenParts.delete(part);
      this.#provenParts.set(part, true);
    }
    dropOldest(this.#provenParts, MAX_PROVEN_PARTS);
    for (const report of this.#reports.values()) {
      for (const part of parts) report.parts.delete(part);
    }
    for (const { id, parts: blamed, exonerated } of this.#verdicts.values()) {
      const cleared = blamed.filter((part) =>
        parts.includes(part) && !exonerated.has(part)
      );
      if (cleared.length === 0) continue;
      this.#mergeVerdict({ id, parts: blamed, exonerated: cleared });
    }
  }

  /** Whether a prompt with these parts may reach no server. */
  blocks(parts: readonly number[]): boolean {
    for (const verdict of this.#verdicts.values()) {
      const blamed = listBlamed(verdict);
      if (blamed.length > 0 && blamed.every((part) => parts.includes(part))) {
        return true;
      }
    }
    return false;
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
      reports: reports.map(({ process, requestId, parts }) => ({
        process,
        requestId,
        parts: [...parts],
      })),
      verdicts: [...this.#verdicts.values()].map((verdict) => ({
        ...verdict,
        exonerated: [...verdict.exonerated],
      })),
    };
  }

  /** Whether a replica in this state lacks a report or a verdict that is known here. */
  isMissingFrom({ reports, verdicts }: CrashRecord): boolean {
    const other = new CrashEvidence();
    other.merge({ reports: [], verdicts });
    for (const report of reports) other.#insertReport(report);
    const { reports: ownReports, verdicts: ownVerdicts } = this.export();
    return ownReports.some((report) => !other.#reports.has(getKey(report))) ||
      ownVerdicts.some((verdict) => other.#mergeVerdict(verdict));
  }

  /** Forgets everything. */
  clear(): void {
    this.#reports.clear();
    this.#verdicts.clear();
  }

  /** Returns whether the verdict, or one of its exonerated parts, was not known. */
  #mergeVerdict({ id, parts, exonerated }: CrashVerdict): boolean {
    const known = this.#verdicts.get(id);
    const verdict = known ?? { id, parts, exonerated: new Set<number>() };
    const before = verdict.exonerated.size;
    for (const part of exonerated) verdict.exonerated.add(part);
    if (known !== undefined && verdict.exonerated.size === before) return false;
    this.#verdicts.set(id, verdict);
    dropOldest(this.#verdicts, MAX_VERDICTS);
    this.#options.onVerdict?.({
      ...verdict,
      exonerated: [...verdict.exonerated],
    });
    return true;
  }

  #mergeReport(report: CrashReport): boolean {
    const known = this.#reports.get(getKey(report));
    if (known !== undefined) {
      // Parts are only ever taken out of a report.
      for (const part of known.parts) {
        if (!report.parts.includes(part)) known.parts.delete(part);
      }
      return false;
    }
    this.#insertReport(report);
    this.#judge(report);
    return true;
  }

  #insertReport({ process, requestId, parts }: CrashReport): void {
    this.#reports.set(getKey({ process, requestId }), {
      process,
      requestId,
      parts: new Set(parts),
      runsBefore: this.#runsBegun,
    });
    dropOldest(this.#reports, MAX_REPORTS);
  }

  /** Adds a verdict if enough processes ended under the parts of a new report. */
  #judge({ process, parts }: CrashReport): void {
    if (this.#verdicts.has(process) || this.#isExplained(process)) return;
    const suspects = parts.map((part) => ({
      part,
      processes: this.#listProcesses(part),
    }));
    const crashes = Math.max(0, ...suspects.map((s) => s.processes.size));
    if (crashes < CRASHES_FOR_VERDICT) return;
    const blamed = suspects.filter((s) => s.processes.size === crashes);
    const blamedParts = blamed.map(({ part }) => part);
    const hasContrast = this.#hasContrast(blamedParts);
    const isClear = hasContrast && this.#countRequests(blamedParts) > 1 &&
      !this.#hasRival(blamedParts, blamed[0]!.processes);
    if (!isClear && crashes < CRASHES_FOR_DOUBTFUL_VERDICT) return;
    // Where nothing begins any more, the servers are at fault rather than parts that worked.
    const guilty = hasContrast
      ? blamedParts
      : blamedParts.filter((part) => !this.#provenParts.has(part));
    if (guilty.length === 0) return;
    this.#mergeVerdict({ id: process, parts: guilty, exonerated: [] });
  }

  /** Whether a verdict blocks one of the requests for which a process left a report. */
  #isExplained(process: string): boolean {
    for (const report of this.#reports.values()) {
      if (report.process === process && this.blocks([...report.parts])) {
        return true;
      }
    }
    return false;
  }

  /** Processes that ended under a part and whose end no verdict explains. */
  #listProcesses(part: number): Set<string> {
    const processes = new Set<string>();
    for (const { parts, process } of this.#reports.values()) {
      if (parts.has(part) && !this.#isExplained(process)) {
        processes.add(process);
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
      const others = this.#listProcesses(part);
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

function listBlamed({ parts, exonerated }: KnownVerdict): number[] {
  return parts.filter((part) => !exonerated.has(part));
}

function getKey(
  { process, requestId }: Pick<CrashReport, "process" | "requestId">,
): string {
  return `${process} ${requestId}`;
}

/** Drops the entries that were added first. */
function dropOldest<K>(map: Map<K, unknown>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}
