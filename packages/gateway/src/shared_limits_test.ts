import * as fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  Dispatcher,
  type RetryBudgetOptions,
  RetryTokens,
} from "@bitternfall/dispatch";
import { type BudgetedArrival, findRetryOverrun } from "@bitternfall/stand-ins";
import { SharedLimits } from "./shared_limits.ts";

const SERVICE = "lm";
const BUDGET: RetryBudgetOptions = { ratio: 0.2, slack: 20, windowMs: 10_000 };
const STEP_MS = 200;

/** One VM of the model; its registration tells others that it exists. */
interface ModelVm {
  readonly limits: SharedLimits;
  isRegistered: boolean;
}

/** VMs that come and go, one dispatcher at a time, and callers whose requests all fail. */
class ModelDeployment {
  now = 0;
  readonly arrivals: BudgetedArrival[] = [];
  readonly requestTimes: number[] = [];
  #budget = BUDGET;
  readonly #vms: ModelVm[] = [];
  #pool = new RetryTokens();

  start(): void {
    const limits = new SharedLimits({
      retryBudget: this.#budget,
      now: () => this.now,
    });
    this.#vms.push({ limits, isRegistered: true });
    this.#announce();
    limits.setServices([SERVICE]);
  }

  kill(index: number): void {
    this.#vms.splice(this.#indexOf(index), 1);
  }

  /** Unregisters a VM, which serves on until it is killed. */
  leave(index: number): void {
    const vm = this.#vms[this.#indexOf(index)];
    if (vm === undefined) return;
    vm.isRegistered = false;
    vm.limits.stopAccruing();
    this.#announce();
  }

  /** Another VM takes the dispatcher role; its pool comes along only if handed over. */
  moveRole(isHandedOver: boolean): void {
    if (!isHandedOver) this.#pool = new RetryTokens();
  }

  reload(slack: number): void {
    this.#budget = { ...BUDGET, slack };
    for (const { limits } of this.#vms) {
      limits.configure({ retryBudget: this.#budget });
    }
  }

  passTokens(): void {
    for (const { limits } of this.#vms) {
      for (const [, allowance] of limits.listRetryAllowances()) {
        this.#pool.add(allowance.takeSurplus(this.now));
      }
    }
  }

  /** A request at a VM, each of whose calls is refused for as long as retries are paid. */
  send(index: number): void {
    const vm = this.#vms[this.#indexOf(index)];
    if (vm === undefined) return;
    const requestId = `r${this.requestTimes.length}`;
    this.requestTimes.push(this.now);
    const allowance = vm.limits.getRetryAllowance(SERVICE);
    allowance.onRequest(this.now);
    const arrive = () =>
      this.arrivals.push({
        requestId,
        stage: "run",
        at: this.now,
        isRefused: true,
      });
    arrive();
    for (let retry = 0; retry < 5; retry++) {
      const paid = allowance.tryTake(1, this.now) ??
        this.#pool.tryTake(1, this.now);
      if (paid === undefined) return;
      arrive();
    }
  }

  #indexOf(index: number): number {
    return index % Math.max(1, this.#vms.length);
  }

  #announce(): void {
    const count = this.#vms.filter(({ isRegistered }) => isRegistered).length;
    for (const { limits } of this.#vms) limits.setVmCount(count);
  }
}

const index = fc.nat({ max: 9 });
const step = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.constant((model: ModelDeployment) => model.start()),
  },
  {
    weight: 2,
    arbitrary: index.map((vm) => (model: ModelDeployment) => model.kill(vm)),
  },
  {
    weight: 2,
    arbitrary: index.map((vm) => (model: ModelDeployment) => model.leave(vm)),
  },
  {
    weight: 3,
    arbitrary: fc.boolean().map((isHandedOver) => (model: ModelDeployment) =>
      model.moveRole(isHandedOver)
    ),
  },
  {
    weight: 1,
    arbitrary: fc.nat({ max: 20 }).map((slack) => (model: ModelDeployment) =>
      model.reload(slack)
    ),
  },
  {
    weight: 3,
    arbitrary: fc.constant((model: ModelDeployment) => model.passTokens()),
  },
  {
    weight: 10,
    arbitrary: fc.tuple(index, fc.nat({ max: 8 })).map(([vm, count]) =>
    (
      model: ModelDeployment,
    ) => {
      for (let sent = 0; sent < count; sent++) model.send(vm + sent);
    }),
  },
  {
    weight: 2,
    arbitrary: fc.nat({ max: 8000 }).map((ms) => (model: ModelDeployment) => {
      model.now += ms;
    }),
  },
);

describe("SharedLimits", () => {
  // Guards against a retry budget that grows with starts, takeovers or reloads.
  it("keeps all VMs together within the retry budget, whatever starts, stops or takes over", () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 20, maxLength: 400 }),
        (steps) => {
          const model = new ModelDeployment();
          for (let vm = 0; vm < 4; vm++) model.start();
          for (const run of steps) {
            run(model);
            model.now += STEP_MS;
          }
          const { arrivals, requestTimes } = model;
          expect(findRetryOverrun(arrivals, requestTimes, BUDGET))
            .toBeUndefined();
        },
      ),
      { seed: 22, numRuns: 300 },
    );
  });

  it("lets most of the budget be spent at once after a quiet window", () => {
    const model = new ModelDeployment();
    for (let vm = 0; vm < 4; vm++) model.start();
    model.now += BUDGET.windowMs;
    model.passTokens();
    for (let sent = 0; sent < 20; sent++) model.send(sent);
    const retries = model.arrivals.length - model.requestTimes.length;
    expect(retries).toBeGreaterThanOrEqual(0.4 * BUDGET.slack);
  });

  // Guards against a restarted VM that takes the whole slack before it knows the other VMs.
  it("creates no retry tokens before the number of VMs is known", () => {
    let now = 0;
    const limits = new SharedLimits({ retryBudget: BUDGET, now: () => now });
    limits.setServices([SERVICE]);
    now += BUDGET.windowMs;
    limits.setVmCount(4);
    const allowance = limits.getRetryAllowance(SERVICE);
    expect(allowance.getCount(now)).toBe(0);
    now += BUDGET.windowMs / 2;
    expect(allowance.getCount(now)).toBeGreaterThan(0);
    expect(allowance.getCount(now)).toBeLessThan(BUDGET.slack / 4 / 2);
  });

  // Guards against two allowances that accrue for a service that goes and comes back.
  it("ends the allowance of a service that a configuration removes, also for its calls", () => {
    let now = 0;
    const limits = new SharedLimits({ retryBudget: BUDGET, now: () => now });
    limits.setVmCount(1);
    limits.setServices([SERVICE]);
    const before = limits.getRetryAllowance(SERVICE);
    limits.setServices([]);
    limits.setServices([SERVICE]);
    now += BUDGET.windowMs / 2;
    expect(before.getCount(now)).toBe(0);
    expect(limits.getRetryAllowance(SERVICE).getCount(now)).toBeGreaterThan(0);
  });

  // Guards against a new VM whose part of the slack comes on top of all others' parts.
  it("creates no retry tokens before the other VMs count this one", () => {
    let now = 0;
    const limits = new SharedLimits({ retryBudget: BUDGET, now: () => now });
    limits.setServices([SERVICE]);
    limits.setVmCount(4, { isListed: false });
    now += BUDGET.windowMs;
    expect(limits.getRetryAllowance(SERVICE).getCount(now)).toBe(0);
    limits.setVmCount(4);
    now += BUDGET.windowMs;
    expect(limits.getRetryAllowance(SERVICE).getCount(now)).toBeGreaterThan(0);
  });
});

const VM_COUNT = 4;
const FREEZE_MS = 8000;

/** VMs with clocks of their own, of which the first is suspended while it dispatches. */
class SuspendedDispatcherModel {
  time = 0;
  readonly arrivals: BudgetedArrival[] = [];
  readonly requestTimes: number[] = [];
  #suspendedMs = 0;
  readonly #clocks = Array.from(
    { length: VM_COUNT },
    (_, vm) => () => this.time - (vm === 0 ? this.#suspendedMs : 0),
  );
  readonly #limits = this.#clocks.map((now) =>
    new SharedLimits({ retryBudget: BUDGET, now })
  );
  /** The dispatcher on the VM that is suspended, and that of its successor. */
  readonly #dispatchers = [0, 1].map((vm) =>
    new Dispatcher({
      service: SERVICE,
      now: this.#clocks[vm]!,
      config: {
        servers: [],
        firstOutputMs: 500,
        betweenOutputsMs: 100,
        decodeSlots: 1,
        perWorkspaceInFlight: Infinity,
        hasRetryBudget: true,
        weights: { goodput: 0, wastedPrefill: 1 },
      },
    })
  );

  constructor() {
    for (const limits of this.#limits) {
      limits.setVmCount(VM_COUNT);
      limits.setServices([SERVICE]);
    }
  }

  /** Runs the deployment, with the first VM awake or suspended, for a time. */
  run(ms: number, options: { isSuspended?: boolean; isFailing?: boolean }) {
    const { isSuspended = false, isFailing = false } = options;
    for (const end = this.time + ms; this.time < end;) {
      this.time += STEP_MS;
      if (isSuspended) this.#suspendedMs += STEP_MS;
      for (const [vm, limits] of this.#limits.entries()) {
        if (isSuspended && vm === 0) continue;
        this.#passTokens(limits, isSuspended || isFailing ? 1 : 0);
        this.#send(limits, isFailing);
      }
    }
  }

  /** The VM that has been suspended hands its role over. */
  handOver(): void {
    const [before, after] = this.#dispatchers;
    const now = this.#clocks[0]!();
    after!.addRetryTokens(
      before!.takeRetryTokens().map(({ count, expiresAt }) => ({
        count,
        expiresAt: this.time + expiresAt - now,
      })),
    );
  }

  #passTokens(limits: SharedLimits, to: number): void {
    const now = this.#clocks[this.#limits.indexOf(limits)]!();
    for (const [, allowance] of limits.listRetryAllowances()) {
      this.#dispatchers[to]!.addRetryTokens(
        allowance.takeSurplus(now).map(({ count, expiresAt }) => ({
          count,
          expiresAt: this.#clocks[to]!() + expiresAt - now,
        })),
      );
    }
  }

  /** A request at a VM; its retries are paid for by the VM or by the second dispatcher. */
  #send(limits: SharedLimits, isFailing: boolean): void {
    const requestId = `r${this.requestTimes.length}`;
    this.requestTimes.push(this.time);
    const now = this.#clocks[this.#limits.indexOf(limits)]!();
    const allowance = limits.getRetryAllowance(SERVICE);
    allowance.onRequest(now);
    const arrive = () =>
      this.arrivals.push({
        requestId,
        stage: "run",
        at: this.time,
        isRefused: true,
      });
    arrive();
    while (isFailing && allowance.tryTake(1, now) !== undefined) arrive();
    if (!isFailing) return;
    const pooled = new RetryTokens();
    pooled.add(this.#dispatchers[1]!.takeRetryTokens());
    while (pooled.tryTake(1, this.time) !== undefined) arrive();
    this.#dispatchers[1]!.addRetryTokens(
      pooled.takeExpiringBefore(Infinity, this.time),
    );
  }
}

describe("the retry budget of a service, beside a suspended dispatcher", () => {
  let model: SuspendedDispatcherModel | undefined;

  beforeEach(() => {
    model = undefined;
    vi.spyOn(Date, "now").mockImplementation(() => model?.time ?? 0);
  });
  afterEach(() => void vi.restoreAllMocks());

  // Guards against retry tokens that outlive their window on a VM whose clock stood.
  it("holds when the dispatcher hands its retry tokens over after a suspension", () => {
    model = new SuspendedDispatcherModel();
    model.run(BUDGET.windowMs, {});
    model.run(FREEZE_MS, { isSuspended: true });
    model.handOver();
    model.run(BUDGET.windowMs, { isFailing: true });
    expect(findRetryOverrun(model.arrivals, model.requestTimes, BUDGET))
      .toBeUndefined();
  });
});
