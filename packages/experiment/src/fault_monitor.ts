/**
 * Monitors a fault run from outside: decode memory that outlives its callers, the record
 * versions that each VM has applied, and the responses to changes of records.
 * @module
 */
import * as crypto from "node:crypto";
import { sleep } from "@bitternfall/types";
import { type Deployment, type EntryVm, OPERATOR_TOKEN } from "./deployment.ts";
import type { CallRecord } from "./fault_load.ts";

/** The longest time that decode memory was seen to outlive its caller. */
export interface LongestOrphan {
  ms: number;
  /** Tag and owner of the request, and the engine. */
  location: string;
}

const POLL_INTERVAL_MS = 100;

/** Measures how long decode engines hold memory for requests whose callers are gone. */
export class OrphanedMemoryMonitor {
  readonly longest: LongestOrphan = { ms: 0, location: "" };
  readonly #deployment: Deployment;
  readonly #records: readonly CallRecord[];

  constructor(deployment: Deployment, records: readonly CallRecord[]) {
    this.#deployment = deployment;
    this.#records = records;
  }

  /** Polls until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const decodeEngines = Object.values(this.#deployment.spec.engines).flat()
      .filter((engine) => engine.role === "decode");
    while (!signal.aborted) {
      await Promise.all(decodeEngines.map((engine) => this.#poll(engine.id)));
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }

  async #poll(engine: string): Promise<void> {
    const res = await fetch(`${this.#deployment.standIns[engine]}/_held`);
    const heldStreams = await res.json() as { tag: string; owner: string }[];
    const now = performance.now();
    for (const { tag, owner } of heldStreams) {
      if (tag === "") continue;
      const callEndedAt = this.#getLastCallEnd(tag);
      if (now - callEndedAt <= this.longest.ms) continue;
      this.longest.ms = now - callEndedAt;
      this.longest.location = `${tag} of ${owner} on ${engine}`;
    }
  }

  /** Returns when the last call of a request ended; the current time if one is in flight. */
  #getLastCallEnd(tag: string): number {
    let lastEnd = 0;
    for (const record of this.#records) {
      if (record.tag === tag) lastEnd = Math.max(lastEnd, record.endedAt);
    }
    return Math.min(lastEnd, performance.now());
  }
}

/** A change of a record and the response to it. */
export interface ChangeRecord {
  readonly changeId: string;
  /** HTTP status; 0 if no response came. */
  readonly status: number;
  /** Stored version if the change was accepted, else 0. */
  readonly version: number;
  readonly acceptedAt: number;
}

interface ObservedVersion {
  /** VM id and pid: a restarted VM counts as another process. */
  readonly processKey: string;
  readonly version: number;
  readonly observedAt: number;
}

/** Record that is changed throughout a run, sometimes by two writers at once. */
export const RACED_RECORD = { kind: "RoutingRecord", name: "raced" };

/**
 * Changes a record at a given rate, some of the time concurrently through two VMs, and
 * polls which versions the VMs have applied.
 */
export class ConfigMonitor {
  readonly changes: ChangeRecord[] = [];
  readonly observedVersions: ObservedVersion[] = [];
  /** Number of times that a VM showed a lower version than before. */
  regressions = 0;
  readonly #deployment: Deployment;
  readonly #random: () => number;
  readonly #highestVersions = new Map<string, number>();
  #changeCount = 0;

  constructor(deployment: Deployment, options: { random: () => number }) {
    this.#deployment = deployment;
    this.#random = options.random;
  }

  /** Changes the record and polls its versions until aborted. */
  async run(options: { rate: number; signal: AbortSignal }): Promise<void> {
    const { rate: changesPerSecond, signal } = options;
    await Promise.all([
      this.#changeRecord(changesPerSecond, signal),
      this.#watchVersions(signal),
    ]);
  }

  async #changeRecord(
    changesPerSecond: number,
    signal: AbortSignal,
  ): Promise<void> {
    while (changesPerSecond > 0 && !signal.aborted) {
      await sleep(1000 / changesPerSecond, signal);
      const running = this.#deployment.vms.filter((vm) =>
        vm.state === "up" && vm.vmState === "live"
      );
      const [firstVm, secondVm] = [0, 1].map(() =>
        running[Math.floor(this.#random() * running.length)]
      );
      if (firstVm === undefined || secondVm === undefined) continue;
      const version = await this.#readVersion(firstVm);
      if (version === undefined) continue;
      const isRace = this.#random() < 0.4;
      await Promise.all(
        [firstVm, ...isRace ? [secondVm] : []].map((vm) =>
          this.#write(vm, version)
        ),
      );
    }
  }

  async #readVersion(vm: EntryVm): Promise<number | undefined> {
    try {
      const res = await fetch(getRecordUrl(vm), {
        headers: AUTHORIZATION_HEADERS,
        signal: AbortSignal.timeout(2000),
      });
      return (await res.json() as { version: number }).version;
    } catch {
      return undefined;
    }
  }

  async #write(vm: EntryVm, version: number): Promise<void> {
    const changeId = crypto.randomUUID();
    const body = {
      ...RACED_RECORD,
      schemaVersion: 1,
      models: { [`planner-${++this.#changeCount}`]: "planner-lm" },
    };
    let status = 0;
    let acceptedVersion = 0;
    try {
      const res = await fetch(getRecordUrl(vm), {
        method: "PUT",
        headers: {
          ...AUTHORIZATION_HEADERS,
          "if-match": String(version),
          "change-id": changeId,
        },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(8000),
      });
      status = res.status;
      acceptedVersion = res.ok
        ? (await res.json() as { version: number }).version
        : 0;
    } catch {
      // No response, such as when the VM was killed: the change may be stored or not.
    }
    this.changes.push({
      changeId,
      status,
      version: acceptedVersion,
      acceptedAt: performance.now(),
    });
  }

  async #watchVersions(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const running = this.#deployment.vms.filter((vm) => vm.state === "up");
      await Promise.all(running.map((vm) => this.#observeVersion(vm)));
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }

  async #observeVersion(vm: EntryVm): Promise<void> {
    const { child } = vm;
    const observedAt = performance.now();
    const status = await this.#deployment.readStatus(vm);
    if (
      status === undefined || status.state === "joining" || vm.child !== child
    ) return;
    const record = status.records.find((applied) =>
      applied.kind === RACED_RECORD.kind && applied.name === RACED_RECORD.name
    );
    const version = record?.version ?? 0;
    const processKey = `${vm.id}.${child.pid}`;
    const highest = this.#highestVersions.get(processKey) ?? 0;
    if (version < highest) this.regressions++;
    if (version <= highest) return;
    this.#highestVersions.set(processKey, version);
    this.observedVersions.push({ processKey, version, observedAt });
  }
}

const AUTHORIZATION_HEADERS = { authorization: `Bearer ${OPERATOR_TOKEN}` };

function getRecordUrl(vm: EntryVm): string {
  return `${vm.operatorUrl}/v1/records/${RACED_RECORD.kind}/${RACED_RECORD.name}`;
}
