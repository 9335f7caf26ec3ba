/**
 * Callers of a fault run: they send, leave, and repeat under their key as real ones do,
 * and write down what they were told.
 * @module
 */
import { createRandom, getCompletionText } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult, callService } from "./client.ts";
import type { Deployment, EntryVm } from "./deployment.ts";
import type { FaultScenario } from "./fault_scenario.ts";

/** One call with what its caller was told. */
export interface CallRecord {
  readonly kind: "model" | "lookup" | "claim";
  /** Known again in the stand-ins' ledgers; of its own for each call. */
  readonly tag: string;
  /** The idempotency key, shared by repeats. */
  readonly key: string | undefined;
  readonly vm: string;
  readonly startedAt: number;
  endedAt: number;
  /** The caller went away on purpose. */
  readonly left: boolean;
  /** What a whole model answer must say. */
  readonly expected: string | undefined;
  result: CallResult | undefined;
}

/** Keys of the callers in a fault run. */
export const FAULT_CALLER_KEY = "key-of-a-fault-run";

const MAX_REPEATS = 4;
const REPEAT_PAUSE_MS = 250;
const MAX_TOKENS = 120;

/** Sends the load of a fault run. */
export class FaultLoad {
  readonly records: CallRecord[] = [];
  readonly #deployment: Deployment;
  readonly #scenario: FaultScenario;
  readonly #random: () => number;
  readonly #running = new Set<Promise<void>>();
  #count = 0;

  constructor(
    deployment: Deployment,
    options: { scenario: FaultScenario; seed: number },
  ) {
    this.#deployment = deployment;
    this.#scenario = options.scenario;
    this.#random = createRandom(options.seed + 7919);
  }

  /** Sends calls at the scenario's rates until aborted, then waits for the last answers. */
  async run(signal: AbortSignal): Promise<void> {
    const { models, lookups, claims } = this.#scenario.load;
    await Promise.all([
      this.#sendAt(models, signal, () => this.#sendModel()),
      this.#sendAt(lookups, signal, () => this.#sendLookup()),
      this.#sendAt(claims, signal, () => this.#sendClaim()),
    ]);
    await Promise.all(this.#running);
  }

  async #sendAt(
    rate: number,
    signal: AbortSignal,
    send: () => Promise<void>,
  ): Promise<void> {
    while (rate > 0 && !signal.aborted) {
      await sleep(-Math.log(1 - this.#random()) / rate * 1000, signal);
      if (signal.aborted) return;
      const call = send().finally(() => this.#running.delete(call));
      this.#running.add(call);
    }
  }

  /** A VM that the balancer would pick. */
  #pickVm(): EntryVm {
    const ready = this.#deployment.vms.filter((vm) =>
      vm.state !== "down" && vm.vmState === "live"
    );
    const from = ready.length > 0 ? ready : this.#deployment.vms;
    return from[Math.floor(this.#random() * from.length)]!;
  }

  #begin(
    fields: Pick<CallRecord, "kind" | "tag" | "key" | "left" | "expected"> & {
      vm: EntryVm;
    },
  ): CallRecord {
    const { vm, ...rest } = fields;
    const record: CallRecord = {
      ...rest,
      vm: vm.id,
      startedAt: performance.now(),
      endedAt: Infinity,
      result: undefined,
    };
    this.records.push(record);
    return record;
  }

  async #sendModel(): Promise<void> {
    const name = `m${++this.#count}`;
    const { keyed, leaving } = this.#scenario.load;
    const isLeaving = this.#random() < leaving;
    const idempotencyKey = this.#random() < keyed ? name : undefined;
    const length = 15 + Math.floor(this.#random() * 80);
    const padding = "measurements ".repeat(Math.floor(this.#random() * 300));
    const prompt = `${padding} tag=${name} len=${length}`;
    const expected = getCompletionText(prompt, MAX_TOKENS);
    const stream = this.#random() < 0.8;
    const leave = new AbortController();
    if (isLeaving) setTimeout(() => leave.abort(), this.#random() * 1500);
    for (let repeat = 0; repeat <= MAX_REPEATS; repeat++) {
      const vm = this.#pickVm();
      const record = this.#begin({
        kind: "model",
        tag: name,
        key: idempotencyKey,
        left: isLeaving,
        expected,
        vm,
      });
      record.result = await callModel({
        url: vm.callerUrl,
        key: FAULT_CALLER_KEY,
        model: "planner",
        prompt,
        stream,
        maxTokens: MAX_TOKENS,
        idempotencyKey,
        signal: leave.signal,
      });
      record.endedAt = performance.now();
      if (record.result.whole || isLeaving || idempotencyKey === undefined) {
        return;
      }
      await sleep(REPEAT_PAUSE_MS);
    }
  }

  async #sendLookup(): Promise<void> {
    const vm = this.#pickVm();
    const tag = `l${++this.#count}`;
    const record = this.#begin({
      kind: "lookup",
      tag,
      key: undefined,
      left: false,
      expected: undefined,
      vm,
    });
    record.result = await callService({
      url: vm.callerUrl,
      key: FAULT_CALLER_KEY,
      path: `/app/status/${tag}`,
      tag,
    });
    record.endedAt = performance.now();
  }

  /** Registers a claim; a keyed one is repeated until its fate is known. */
  async #sendClaim(): Promise<void> {
    const name = `c${++this.#count}`;
    const isKeyed = this.#random() < this.#scenario.load.keyed;
    for (let repeat = 0; repeat <= MAX_REPEATS; repeat++) {
      const vm = this.#pickVm();
      const key = isKeyed ? name : undefined;
      const tag = `${name}.${repeat}`;
      const record = this.#begin({
        kind: "claim",
        tag,
        key,
        left: false,
        expected: undefined,
        vm,
      });
      record.result = await callService({
        url: vm.callerUrl,
        key: FAULT_CALLER_KEY,
        path: "/app/claims",
        method: "POST",
        body: JSON.stringify({ claim: name }),
        tag,
        idempotencyKey: key,
      });
      record.endedAt = performance.now();
      if (record.result.whole || !isKeyed) return;
      await sleep(REPEAT_PAUSE_MS);
    }
  }
}
