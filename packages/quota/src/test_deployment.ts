/**
 * A deployment of issuers and accounts in virtual time, with message delays, partitions,
 * frozen and killed VMs, for tests.
 * @module
 */
import type { QuotaLimit } from "@bitternfall/access";
import { VirtualTime } from "@bitternfall/engine-model";
import { pickOwner, rankVms } from "@bitternfall/membership";
import { createRandom } from "@bitternfall/stand-ins";
import { QuotaClient, type QuotaResult, TAKE_TIMEOUT_MS } from "./client.ts";
import { QuotaIssuer } from "./issuer.ts";
import type { QuotaReply, QuotaRequest } from "./messages.ts";
import { type QuotaBound, REACH_MS } from "./terms.ts";

/** Options of a {@link TestDeployment}. */
export interface TestDeploymentOptions {
  readonly seed: number;
  readonly vmCount?: number;
  readonly bound: QuotaBound;
  readonly limits: ReadonlyMap<string, QuotaLimit>;
}

/** Requests of one workspace. */
export interface Demand {
  readonly workspace: string;
  /** Multiple of the workspace's limit that is asked for. */
  readonly load: number;
  /** VMs that the requests arrive at. */
  readonly vms: readonly number[];
  /** Mean cost of a request. */
  readonly meanCost: number;
  /** Whether all requests cost the same, as plain calls do. */
  readonly isEven?: boolean;
  /** Share of the granted requests that end without having run, within a second. */
  readonly notRunShare?: number;
  readonly untilMs: number;
}

/** A decided request. */
export interface Decided {
  readonly at: number;
  /** Time until the decision. */
  readonly waitedMs: number;
  readonly workspace: string;
  readonly result: QuotaResult;
}

const HEARTBEAT_MS = 500;
const MAX_DELAY_MS = 50;
const MAX_NOT_RUN_MS = 1000;
const HUB_COUNT = 5;
const MIN_DEAD_AFTER_MS = 900;
const MAX_DEAD_AFTER_MS = 1600;
const MS_PER_S = 1000;

/** One VM; a restart replaces its account and issuer. */
class TestVm {
  readonly heardAt = new Map<string, number>();
  readonly id: string;
  readonly deadAfterMs: number;
  client!: QuotaClient;
  issuer!: QuotaIssuer;
  isAlive = true;
  isFrozen = false;
  /** Time that the VM's clock has not counted. */
  suspendedMs = 0;
  /** VMs of different groups don't reach each other. */
  group = 0;
  incarnation = 0;
  bytes = 0;
  /** Messages that arrive while the VM is frozen. */
  held: (() => void)[] = [];

  constructor(id: string, deadAfterMs: number) {
    this.id = id;
    this.deadAfterMs = deadAfterMs;
  }
}

/** VMs that share the quotas of some workspaces. */
export class TestDeployment {
  readonly time = new VirtualTime();
  readonly vms: TestVm[];
  readonly decided: Decided[] = [];
  readonly random: () => number;
  readonly #options: TestDeploymentOptions;
  readonly #hubs: ReadonlySet<string>;
  #limits: ReadonlyMap<string, QuotaLimit>;
  messages = 0;

  constructor(options: TestDeploymentOptions) {
    this.#options = options;
    this.#limits = options.limits;
    this.random = createRandom(options.seed);
    const { vmCount = 89 } = options;
    this.vms = Array.from({ length: vmCount }, (_, index) => {
      const span = MAX_DEAD_AFTER_MS - MIN_DEAD_AFTER_MS;
      const deadAfterMs = MIN_DEAD_AFTER_MS + span * this.random();
      return new TestVm(`vm-${index}`, deadAfterMs);
    });
    this.#hubs = new Set(
      rankVms(this.vms).slice(0, HUB_COUNT).map(({ id }) => id),
    );
    for (const vm of this.vms) {
      this.restart(vm);
      this.#beat(vm);
    }
  }

  /** The VM that a workspace's callers ask, by the view of the first other VM. */
  findIssuer(workspace: string): TestVm {
    const observer = this.vms.find(({ id }) => !this.#hubs.has(id))!;
    const id = this.#getOwner(observer, workspace);
    return this.vms.find((vm) => vm.id === id)!;
  }

  /** Starts a process anew; what it knew is lost. */
  restart(vm: TestVm): void {
    const { bound } = this.#options;
    const now = () => this.#getClock(vm);
    vm.isAlive = true;
    vm.incarnation++;
    vm.heardAt.clear();
    // The members are listed before the first request is served.
    for (const { id } of this.vms) vm.heardAt.set(id, now());
    vm.client = new QuotaClient({
      bound,
      now,
      schedule: this.time.schedule,
      firstMessageId: Math.floor(this.random() * 1e6),
      getIssuer: (workspace) => this.#getOwner(vm, workspace),
      getVmCount: () => this.vms.length,
      send: (issuer, id, requests) => this.#send(vm, issuer, { id, requests }),
    });
    vm.issuer = new QuotaIssuer({
      bound,
      now,
      isIssuer: (workspace) => this.#getOwner(vm, workspace) === vm.id,
      getReachableShare: () => this.#countHeard(vm) / this.vms.length,
    });
    this.#configure(vm);
  }

  kill(vm: TestVm): void {
    vm.isAlive = false;
    vm.incarnation++;
    vm.held = [];
  }

  freeze(vm: TestVm): void {
    vm.isFrozen = true;
  }

  thaw(vm: TestVm): void {
    vm.isFrozen = false;
    for (const run of vm.held.splice(0)) run();
  }

  /** Freezes a VM for a time that its own clock does not count. */
  suspend(vm: TestVm, ms: number): void {
    this.freeze(vm);
    this.time.schedule(ms, () => {
      vm.suspendedMs += ms;
      vm.client.voidLeases();
      this.thaw(vm);
    });
  }

  /** Changes the quotas; each VM applies them within `withinMs`. */
  setLimits(
    limits: ReadonlyMap<string, QuotaLimit>,
    { withinMs }: { withinMs: number },
  ): void {
    this.#limits = limits;
    for (const vm of this.vms) {
      this.time.schedule(this.random() * withinMs, () => this.#configure(vm));
    }
  }

  /** Sends requests at drawn times, with drawn costs, to drawn VMs. */
  addDemand(demand: Demand): void {
    const { perSecond } = this.#limits.get(demand.workspace)!;
    this.#addDemandAt(demand, perSecond * demand.load / MS_PER_S);
  }

  #addDemandAt(demand: Demand, perMs: number): void {
    const { vms, meanCost, untilMs } = demand;
    const gapMs = -Math.log(1 - this.random()) * meanCost / perMs;
    this.time.schedule(gapMs, () => {
      if (this.time.now() > untilMs) return;
      const vm = this.vms[vms[Math.floor(this.random() * vms.length)]!]!;
      // From a fifth of the mean to four times as much, as prompts differ.
      const factor = Math.exp(3 * this.random() - 1.5) / 1.42;
      const spread = demand.isEven ? 1 : factor;
      const cost = Math.max(1, Math.round(meanCost * spread));
      if (vm.isAlive && !vm.isFrozen) void this.#request(vm, demand, cost);
      this.#addDemandAt(demand, perMs);
    });
  }

  async #request(vm: TestVm, demand: Demand, cost: number): Promise<void> {
    const { workspace, notRunShare = 0 } = demand;
    const { incarnation, client } = vm;
    const takenAt = this.time.now();
    const result = await client.take(workspace, cost);
    if (result === undefined || vm.incarnation !== incarnation) return;
    if (result.tag === "granted" && this.random() < notRunShare) {
      this.time.schedule(
        this.random() * MAX_NOT_RUN_MS,
        () => client.giveBack(workspace, cost, takenAt),
      );
      return;
    }
    const at = this.time.now();
    const waitedMs = vm.isFrozen ? 0 : at - takenAt;
    this.decided.push({ at, waitedMs, workspace, result });
  }

  async run(endMs: number): Promise<void> {
    await this.time.run(endMs);
  }

  /** Largest use in any window, relative to what the bound allows. */
  getLargestUse(
    workspace: string,
    limit: QuotaLimit,
    { fromMs = 0 } = {},
  ): number {
    const { windowMs, tolerance, slack } = this.#options.bound;
    const allowed = (limit.perSecond * windowMs / MS_PER_S + limit.burst) *
        (1 + tolerance) + slack;
    const granted = this.#listGranted(workspace, fromMs);
    let sum = 0;
    let largest = 0;
    let first = 0;
    for (const { at, cost } of granted) {
      sum += cost;
      while (granted[first]!.at < at - windowMs) sum -= granted[first++]!.cost;
      largest = Math.max(largest, sum);
    }
    return largest / allowed;
  }

  /** Use from `fromMs` on, relative to the limit. */
  getUtilization(
    workspace: string,
    { perSecond }: QuotaLimit,
    { fromMs, toMs }: { fromMs: number; toMs: number },
  ): number {
    let used = 0;
    for (const { at, cost } of this.#listGranted(workspace, fromMs)) {
      if (at < toMs) used += cost;
    }
    return used / (perSecond * (toMs - fromMs) / MS_PER_S);
  }

  /** Longest time that a request has waited for its decision. */
  getLongestWaitMs(): number {
    return Math.max(...this.decided.map(({ waitedMs }) => waitedMs));
  }

  #listGranted(
    workspace: string,
    fromMs: number,
  ): { at: number; cost: number }[] {
    return this.decided.filter((one) =>
      one.workspace === workspace && one.at >= fromMs &&
      one.result.tag === "granted"
    ).map(({ at, result }) => ({ at, cost: result.figures.wanted }));
  }

  #configure(vm: TestVm): void {
    vm.issuer.setLimits(this.#limits);
    vm.client.setLimits(this.#limits);
  }

  #beat(vm: TestVm): void {
    this.time.schedule(HEARTBEAT_MS * (0.9 + 0.2 * this.random()), () => {
      if (vm.isAlive && !vm.isFrozen) {
        for (const other of this.vms) {
          if (!this.#isLinked(vm, other)) continue;
          const delayMs = this.#drawDelayMs();
          this.time.schedule(delayMs, () => this.#hear(other, vm));
          this.time.schedule(2 * delayMs, () => this.#hear(vm, other));
        }
        vm.issuer.sync();
      }
      this.#beat(vm);
    });
  }

  #hear(vm: TestVm, other: TestVm): void {
    if (!this.#reaches(vm, other) || vm.isFrozen || other.isFrozen) return;
    vm.heardAt.set(other.id, this.#getClock(vm));
  }

  #getClock({ suspendedMs }: TestVm): number {
    return this.time.now() - suspendedMs;
  }

  /** VMs keep connections to the hubs only. */
  #isLinked(vm: TestVm, other: TestVm): boolean {
    return vm !== other &&
      (this.#hubs.has(vm.id) || this.#hubs.has(other.id));
  }

  #reaches(vm: TestVm, other: TestVm): boolean {
    return vm.isAlive && other.isAlive && vm.group === other.group;
  }

  #countHeard(vm: TestVm): number {
    const since = this.#getClock(vm) - REACH_MS;
    let heard = 1;
    for (const [id, at] of vm.heardAt) if (id !== vm.id && at > since) heard++;
    return heard;
  }

  #getOwner(vm: TestVm, workspace: string): string | undefined {
    const since = this.#getClock(vm) - vm.deadAfterMs;
    const eligible = [...this.#hubs].filter((id) =>
      id === vm.id || (vm.heardAt.get(id) ?? -Infinity) > since
    );
    return pickOwner(`quota/${workspace}`, eligible);
  }

  #drawDelayMs(): number {
    return 1 + (MAX_DELAY_MS - 1) * this.random();
  }

  #send(
    vm: TestVm,
    issuerId: string,
    message: { id: number; requests: readonly QuotaRequest[] },
  ): Promise<readonly QuotaReply[]> {
    const { id, requests } = message;
    const issuer = this.vms.find((one) => one.id === issuerId)!;
    const take = () => issuer.issuer.take(vm.id, id, requests);
    if (issuer === vm) return Promise.resolve(take());
    return new Promise((resolve, reject) => {
      this.time.schedule(TAKE_TIMEOUT_MS, () => reject(new Error("timeout")));
      if (!this.#reaches(vm, issuer)) return;
      this.messages++;
      const params = [vm.id, id, requests];
      this.#count([vm, issuer], { id, method: "quota.take", params });
      this.time.schedule(this.#drawDelayMs(), () => {
        if (!this.#reaches(vm, issuer)) return;
        this.#deliver(issuer, () => {
          const replies = take();
          this.#count([vm, issuer], { id, result: replies });
          this.time.schedule(
            this.#drawDelayMs(),
            () => this.#deliver(vm, () => resolve(replies)),
          );
        });
      });
    });
  }

  #deliver(vm: TestVm, run: () => void): void {
    if (!vm.isAlive) return;
    if (vm.isFrozen) vm.held.push(run);
    else run();
  }

  /** Counts the payload of a message at both ends. */
  #count(ends: readonly TestVm[], message: object): void {
    const { length } = JSON.stringify({ jsonrpc: "2.0", ...message });
    for (const end of ends) end.bytes += length;
  }
}
