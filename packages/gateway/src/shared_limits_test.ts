import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type RetryBudgetOptions, RetryTokens } from "@bitternfall/dispatch";
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
});
