/**
 * Evidence of which requests end servers, for each service of this VM. What this VM reports
 * or concludes is published to the VMs that may dispatch the service.
 * @module
 */
import {
  CrashEvidence,
  type CrashRecord,
  type CrashReport,
  decodeHashes,
  EMPTY_CRASH_RECORD,
  encodeHashes,
} from "@bitternfall/dispatch";
import type { EventLog } from "@bitternfall/events";
import type { Params } from "@bitternfall/peer";

/** Options of a {@link CrashRegistry}. */
export interface CrashRegistryOptions {
  readonly log: EventLog;
  /** Sends what is new to other VMs. */
  readonly publish: (service: string, record: CrashRecord) => void;
  /** Whether this VM dispatches a service, and so knows which of its runs begin. */
  readonly isOwner: (service: string) => boolean;
  /** Called after a report or a verdict was added, or a verdict has changed. */
  readonly onChange: (service: string) => void;
}

/** A {@link CrashRecord} as messages carry it and the object API stores it. */
export type WireCrashRecord = [
  reports: Params<"crashes.push">[1],
  verdicts: Params<"crashes.push">[2],
  cleared: Params<"crashes.push">[3],
];

/** The evidence on each service. */
export class CrashRegistry {
  readonly #options: CrashRegistryOptions;
  readonly #evidence = new Map<string, CrashEvidence>();

  constructor(options: CrashRegistryOptions) {
    this.#options = options;
  }

  /** Names of the services with evidence. */
  get services(): Iterable<string> {
    return this.#evidence.keys();
  }

  /** Returns the evidence on a service, which is empty at first. */
  get(service: string): CrashEvidence {
    let evidence = this.#evidence.get(service);
    if (evidence === undefined) {
      evidence = new CrashEvidence({
        onCleared: () => this.#options.onChange(service),
        onVerdict: (verdict) => {
          this.#options.log.emit("requestsBlocked", {
            service,
            verdict: verdict.id,
            parts: verdict.parts.join(","),
            exonerated: verdict.exonerated.join(","),
            trials: verdict.trials,
          });
          this.#options.publish(service, {
            ...EMPTY_CRASH_RECORD,
            verdicts: [verdict],
          });
          this.#options.onChange(service);
        },
      });
      this.#evidence.set(service, evidence);
    }
    return evidence;
  }

  /** Whether no server may get a request with these parts. */
  blocks(service: string, parts: readonly number[]): boolean {
    return this.#evidence.get(service)?.blocks(parts) ?? false;
  }

  /** Reports a server that ended before it wrote anything for a request of this VM. */
  report(service: string, report: CrashReport): void {
    const { process, requestId, parts } = report;
    this.#options.log.emit("crashReported", {
      service,
      process,
      requestId,
      parts: parts.join(","),
    });
    const record = { ...EMPTY_CRASH_RECORD, reports: [report] };
    this.#options.publish(service, record);
    this.merge(service, record);
  }

  /** Records that a run with these parts has begun at this VM. */
  recordBegin(service: string, parts: readonly number[]): void {
    const record = this.get(service).recordBegin(parts);
    if (record.reports.length > 0) this.#options.publish(service, record);
  }

  /** Whether a blocked request may be tried now. */
  isTrialDue(service: string, parts: readonly number[]): boolean {
    return this.get(service).isTrialDue(parts);
  }

  /** Counts a trial of a blocked request; returns whether it may take place. */
  startTrial(service: string, parts: readonly number[]): boolean {
    return this.get(service).startTrial(parts);
  }

  /** Whether anything is known against some request as a whole. */
  suspectsRequests(service: string): boolean {
    return this.#evidence.get(service)?.suspectsRequests ?? false;
  }

  /** Number of server processes that ended under a part, of which no run has begun since. */
  countEnds(service: string, part: number): number {
    return this.#evidence.get(service)?.countEnds(part) ?? 0;
  }

  /** Forgets the evidence on a service, as an operator asked. */
  forget(service: string): void {
    this.#evidence.get(service)?.clear();
  }

  /** Adds what another VM or the object API knows. */
  merge(service: string, record: CrashRecord): void {
    if (!this.get(service).merge(record)) return;
    this.judge(service);
    this.#options.onChange(service);
  }

  /** Judges new reports if this VM dispatches the service; call when it begins to. */
  judge(service: string): void {
    if (this.#options.isOwner(service)) this.get(service).judge();
  }

  /** Judges new reports of all services that this VM dispatches. */
  judgeAll(): void {
    for (const service of this.#evidence.keys()) this.judge(service);
  }
}

/** Encodes a record for messages and for the object API. */
export function encodeCrashRecord(record: CrashRecord): WireCrashRecord {
  const { reports, verdicts, cleared } = record;
  return [
    reports.map((
      { process, requestId, parts },
    ) => [process, requestId, encodeHashes(parts)]),
    verdicts.map((
      { id, parts, exonerated, trials },
    ) => [id, encodeHashes(parts), encodeHashes(exonerated), trials]),
    encodeHashes(cleared),
  ];
}

/** Decodes the result of {@link encodeCrashRecord}. */
export function decodeCrashRecord(
  [reports, verdicts, cleared]: WireCrashRecord,
): CrashRecord {
  return {
    reports: reports.map(([process, requestId, parts]) => ({
      process,
      requestId,
      parts: decodeHashes(parts),
    })),
    verdicts: verdicts.map(([id, parts, exonerated, trials]) => ({
      id,
      parts: decodeHashes(parts),
      exonerated: decodeHashes(exonerated),
      trials,
    })),
    cleared: decodeHashes(cleared),
  };
}
