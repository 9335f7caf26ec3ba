/**
 * Load of a fault run: callers that send requests, disconnect, and retry with the same
 * idempotency key, and record the results they receive.
 * @module
 */
import { createRandom, getCompletionText } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { callModel, type CallResult, callService } from "./client.ts";
import type { Deployment, EntryVm } from "./deployment.ts";
import type { FaultScenario } from "./fault_scenario.ts";

/** One call and its result. Runs with failed checks write it to calls.json. */
export interface CallRecord {
  readonly kind: "model" | "lookup" | "claim";
  /** Identifies the request in the stand-ins' ledgers. Retries of a model request share it. */
  readonly tag: string;
  /** Idempotency key, which retries share. */
  readonly key: string | undefined;
  readonly vm: string;
  /** Start and end on the monotonic clock; the end is Infinity while the call is in flight. */
  readonly startedAt: number;
  endedAt: number;
  /** The caller disconnects at a random time, unless the response is complete before. */
  readonly left: boolean;
  /** Text that a complete model response must have. */
  readonly expected: string | undefined;
  result: CallResult | undefined;
}

/** Bearer key of the callers in a fault run. */
export const FAULT_CALLER_KEY = "key-of-a-fault-run";

const MAX_RETRIES = 4;
const RETRY_DELAY_MS = 250;
const MAX_TOKENS = 120;

/** Generates the load of a fault run. */
export class FaultLoad {
  readonly records: CallRecord[] = [];
  readonly #deployment: Deployment;
  readonly #scenario: FaultScenario;
  readonly #random: () => number;
  readonly #inFlight = new Set<Promise<void>>();
  #callCount = 0;

  constructor(
    deployment: Deployment,
    options: { scenario: FaultScenario; seed: number },
  ) {
    this.#deployment = deployment;
    this.#scenario = options.scenario;
    // The fault plan uses the seed itself, so an offset keeps these draws independent of it.
    this.#random = createRandom(options.seed + 7919);
  }

  /** Sends calls at the scenario's rates until aborted, then waits for those in flight. */
  async run(signal: AbortSignal): Promise<void> {
    const { models, lookups, claims } = this.#scenario.load;
    await Promise.all([
      this.#sendAtRate(models, signal, () => this.#sendModelRequest()),
      this.#sendAtRate(lookups, signal, () => this.#sendLookup()),
      this.#sendAtRate(claims, signal, () => this.#sendClaim()),
    ]);
    await Promise.all(this.#inFlight);
  }

  /** Sends calls with exponentially distributed intervals, at `rate` per second on average. */
  async #sendAtRate(
    rate: number,
    signal: AbortSignal,
    send: () => Promise<void>,
  ): Promise<void> {
    while (rate > 0 && !signal.aborted) {
      await sleep(-Math.log(1 - this.#random()) / rate * 1000, signal);
      if (signal.aborted) return;
      const call = send().finally(() => this.#inFlight.delete(call));
      this.#inFlight.add(call);
    }
  }

  /** Picks a VM as the load balancer would: neither down nor leaving. */
  #pickVm(): EntryVm {
    const openVms = this.#deployment.vms.filter((vm) =>
      vm.state !== "down" && vm.vmState === "live"
    );
    const candidates = openVms.length > 0 ? openVms : this.#deployment.vms;
    return candidates[Math.floor(this.#random() * candidates.length)]!;
  }

  #recordCall(
    fields: Pick<CallRecord, "kind" | "tag" | "key" | "left" | "expected"> & {
      vm: EntryVm;
    },
  ): CallRecord {
    const { vm, ...callFields } = fields;
    const record: CallRecord = {
      ...callFields,
      vm: vm.id,
      startedAt: performance.now(),
      endedAt: Infinity,
      result: undefined,
    };
    this.records.push(record);
    return record;
  }

  async #sendModelRequest(): Promise<void> {
    const tag = `m${++this.#callCount}`;
    const { keyed: keyedShare, leaving: leavingShare } = this.#scenario.load;
    const isLeaving = this.#random() < leavingShare;
    const idempotencyKey = this.#random() < keyedShare ? tag : undefined;
    const length = 15 + Math.floor(this.#random() * 80);
    const padding = "measurements ".repeat(Math.floor(this.#random() * 300));
    const prompt = `${padding} tag=${tag} len=${length}`;
    const expected = getCompletionText(prompt, MAX_TOKENS);
    const stream = this.#random() < 0.8;
    const disconnect = new AbortController();
    if (isLeaving) setTimeout(() => disconnect.abort(), this.#random() * 1500);
    for (let retry = 0; retry <= MAX_RETRIES; retry++) {
      const vm = this.#pickVm();
      const record = this.#recordCall({
        kind: "model",
        tag,
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
        signal: disconnect.signal,
      });
      record.endedAt = performance.now();
      if (
        record.result.whole || isLeaving || idempotencyKey === undefined
      ) {
        return;
      }
      await sleep(RETRY_DELAY_MS);
    }
  }

  async #sendLookup(): Promise<void> {
    const vm = this.#pickVm();
    const tag = `l${++this.#callCount}`;
    const record = this.#recordCall({
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

  /**
   * Registers a claim. One with an idempotency key is retried until it succeeds, at most
   * MAX_RETRIES times; each attempt has a tag of its own.
   */
  async #sendClaim(): Promise<void> {
    const claimName = `c${++this.#callCount}`;
    const isKeyed = this.#random() < this.#scenario.load.keyed;
    for (let retry = 0; retry <= MAX_RETRIES; retry++) {
      const vm = this.#pickVm();
      const key = isKeyed ? claimName : undefined;
      const tag = `${claimName}.${retry}`;
      const record = this.#recordCall({
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
        body: JSON.stringify({ claim: claimName }),
        tag,
        idempotencyKey: key,
      });
      record.endedAt = performance.now();
      if (record.result.whole || !isKeyed) return;
      await sleep(RETRY_DELAY_MS);
    }
  }
}
