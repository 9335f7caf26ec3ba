/**
 * Watches a fault run from outside: decode memory held for nobody, records in force on
 * each VM, and what operators were told of their changes.
 * @module
 */
import * as crypto from "node:crypto";
import { sleep } from "@bitternfall/types";
import { type Deployment, type EntryVm, OPERATOR_TOKEN } from "./deployment.ts";
import type { CallRecord } from "./fault_load.ts";

/** Longest times that were seen. */
export interface HeldWorst {
  ms: number;
  /** Request and engine that it was seen for. */
  where: string;
}

const HELD_POLL_MS = 100;

/** Measures for how long decode memory outlives its caller. */
export class HeldMonitor {
  readonly worst: HeldWorst = { ms: 0, where: "" };
  readonly #deployment: Deployment;
  readonly #records: readonly CallRecord[];

  constructor(deployment: Deployment, records: readonly CallRecord[]) {
    this.#deployment = deployment;
    this.#records = records;
  }

  /** Polls until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const decodes = Object.values(this.#deployment.spec.engines).flat().filter((
      one,
    ) => one.role === "decode");
    while (!signal.aborted) {
      await Promise.all(decodes.map((engine) => this.#poll(engine.id)));
      await sleep(HELD_POLL_MS, signal);
    }
  }

  async #poll(engine: string): Promise<void> {
    const res = await fetch(`${this.#deployment.standIns[engine]}/_held`);
    const held = await res.json() as { tag: string; owner: string }[];
    const now = performance.now();
    for (const { tag, owner } of held) {
      if (tag === "") continue;
      const ended = this.#getEnd(tag);
      if (now - ended <= this.worst.ms) continue;
      this.worst.ms = now - ended;
      this.worst.where = `${tag} of ${owner} on ${engine}`;
    }
  }

  /** When the last caller of a request ended; now, while one still waits. */
  #getEnd(tag: string): number {
    let end = 0;
    for (const record of this.#records) {
      if (record.tag === tag) end = Math.max(end, record.endedAt);
    }
    return Math.min(end, performance.now());
  }
}

/** A change that an operator was told of. */
export interface ChangeRecord {
  readonly changeId: string;
  readonly status: number;
  /** Version where it was accepted, else 0. */
  readonly version: number;
  readonly acceptedAt: number;
}

interface SeenVersion {
  readonly vm: string;
  readonly version: number;
  readonly at: number;
}

/** Record that is changed all the time. */
export const RACED_RECORD = { kind: "RoutingRecord", name: "raced" };

/** Changes a record at a rate, sometimes twice at once, and watches it come into force. */
export class ConfigMonitor {
  readonly changes: ChangeRecord[] = [];
  readonly seen: SeenVersion[] = [];
  /** Times that a VM showed a lower version than before. */
  reverted = 0;
  readonly #deployment: Deployment;
  readonly #random: () => number;
  readonly #highest = new Map<string, number>();
  #count = 0;

  constructor(deployment: Deployment, options: { random: () => number }) {
    this.#deployment = deployment;
    this.#random = options.random;
  }

  /** Changes and watches until aborted. */
  async run(options: { rate: number; signal: AbortSignal }): Promise<void> {
    const { rate, signal } = options;
    await Promise.all([this.#change(rate, signal), this.#watch(signal)]);
  }

  async #change(rate: number, signal: AbortSignal): Promise<void> {
    while (rate > 0 && !signal.aborted) {
      await sleep(1000 / rate, signal);
      const running = this.#deployment.vms.filter((vm) =>
        vm.state === "up" && vm.vmState === "live"
      );
      const [first, second] = [0, 1].map(() =>
        running[Math.floor(this.#random() * running.length)]
      );
      if (first === undefined || second === undefined) continue;
      const version = await this.#readVersion(first);
      if (version === undefined) continue;
      const isRace = this.#random() < 0.4;
      await Promise.all(
        [first, ...isRace ? [second] : []].map((vm) =>
          this.#write(vm, version)
        ),
      );
    }
  }

  async #readVersion(vm: EntryVm): Promise<number | undefined> {
    try {
      const res = await fetch(getAddress(vm), {
        headers: HEADERS,
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
      models: { [`planner-${++this.#count}`]: "planner-lm" },
    };
    let status = 0;
    let accepted = 0;
    try {
      const res = await fetch(getAddress(vm), {
        method: "PUT",
        headers: {
          ...HEADERS,
          "if-match": String(version),
          "change-id": changeId,
        },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(8000),
      });
      status = res.status;
      accepted = res.ok ? (await res.json() as { version: number }).version : 0;
    } catch {
      // The VM died: the operator knows nothing of this change.
    }
    this.changes.push({
      changeId,
      status,
      version: accepted,
      acceptedAt: performance.now(),
    });
  }

  async #watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const running = this.#deployment.vms.filter((vm) => vm.state === "up");
      await Promise.all(running.map((vm) => this.#look(vm)));
      await sleep(HELD_POLL_MS, signal);
    }
  }

  async #look(vm: EntryVm): Promise<void> {
    const { child } = vm;
    const at = performance.now();
    const status = await this.#deployment.readStatus(vm);
    if (
      status === undefined || status.state === "joining" || vm.child !== child
    ) return;
    const record = status.records.find((one) =>
      one.kind === RACED_RECORD.kind && one.name === RACED_RECORD.name
    );
    const version = record?.version ?? 0;
    const key = `${vm.id}.${child.pid}`;
    const highest = this.#highest.get(key) ?? 0;
    if (version < highest) this.reverted++;
    if (version <= highest) return;
    this.#highest.set(key, version);
    this.seen.push({ vm: key, version, at });
  }
}

const HEADERS = { authorization: `Bearer ${OPERATOR_TOKEN}` };

function getAddress(vm: EntryVm): string {
  return `${vm.operatorUrl}/v1/records/${RACED_RECORD.kind}/${RACED_RECORD.name}`;
}
