import * as fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventLog } from "@bitternfall/events";
import {
  findLimitOverrun,
  type LimitedArrival,
  type NamedLimit,
} from "@bitternfall/stand-ins";
import { LimitKeeper } from "./limit_keeper.ts";
import { ServerLimits } from "./server_limits.ts";

const SERVICE = "app";
const SERVER = "s1";
const STEP_MS = 50;
/** Time for which VMs may disagree on who keeps the limits. */
const DISAGREEMENT_MS = 500;
const log = new EventLog({ level: "fatal" });

/** One VM of the model. */
interface ModelVm {
  readonly id: string;
  readonly limits: ServerLimits;
  readonly keeper: LimitKeeper;
  /** The VM that keeps the limits, as this VM believes. */
  owner: number;
  isAlive: boolean;
}

/** VMs that send to one server with a limit, and a role that moves among them. */
class ModelDeployment {
  now = 0;
  readonly arrivals: LimitedArrival[] = [];
  readonly namedLimits: NamedLimit[] = [];
  readonly #vms: ModelVm[] = [];
  #owner = 0;
  #nextOwnerAt: { at: number; vm: number }[] = [];

  constructor(vmCount: number, requestsPerSecond: number) {
    this.namedLimits.push({ requestsPerSecond, from: 0, until: Infinity });
    for (let vm = 0; vm < vmCount; vm++) this.#vms.push(this.#createVm(vm));
  }

  /** Moves the role; the other VMs learn of it one after the other. */
  moveRole(vm: number): void {
    this.#owner = vm % this.#vms.length;
    for (const [index] of this.#vms.entries()) {
      const delayMs = DISAGREEMENT_MS * index / this.#vms.length;
      this.#nextOwnerAt.push({ at: this.now + delayMs, vm: index });
    }
  }

  /** Kills and restarts a VM, which has then been told of no limit. */
  restart(vm: number): void {
    const index = vm % this.#vms.length;
    this.#vms[index] = this.#createVm(index);
  }

  setSilent(vm: number, isSilent: boolean): void {
    this.#vms[vm % this.#vms.length]!.isAlive = !isSilent;
  }

  async wait(ms: number, requestsPerStep: number): Promise<void> {
    for (const end = this.now + ms; this.now < end;) {
      this.now += STEP_MS;
      for (const { at, vm } of this.#nextOwnerAt) {
        if (at <= this.now) this.#vms[vm]!.owner = this.#owner;
      }
      this.#nextOwnerAt = this.#nextOwnerAt.filter(({ at }) => at > this.now);
      for (const { keeper } of this.#vms) keeper.sync();
      for (let sent = 0; sent < requestsPerStep; sent++) {
        for (const vm of this.#vms) await this.#send(vm);
      }
    }
  }

  async #send({ id, limits }: ModelVm): Promise<void> {
    if (limits.isBlocked(SERVER)) return;
    if (!await limits.acquirePermit(SERVER)) return;
    this.arrivals.push({ vm: id, at: this.now, endedAt: this.now });
    const [{ requestsPerSecond }] = this.namedLimits as [NamedLimit];
    limits.onAnswer({ id: SERVER }, { service: SERVICE, requestsPerSecond });
  }

  #createVm(index: number): ModelVm {
    const now = () => this.now;
    const limits = new ServerLimits({
      log,
      now,
      getVmCount: () => this.#vms.length,
      getKeeper: () => undefined,
      report: () => {},
      requestPermit: (req) => {
        const keeper = this.#vms[this.#vms[index]!.owner]!;
        if (!keeper.isAlive) return Promise.reject(new Error("silent"));
        return Promise.resolve(keeper.keeper.take(req));
      },
    });
    const keeper = new LimitKeeper({
      now,
      isOwner: () => this.#vms[index]!.owner === index,
    });
    return {
      id: `vm-${index}`,
      limits,
      keeper,
      owner: this.#owner,
      isAlive: true,
    };
  }
}

const vm = fc.nat({ max: 40 });
const step = fc.oneof(
  vm.map((index) => (model: ModelDeployment) => model.moveRole(index)),
  vm.map((index) => (model: ModelDeployment) => model.restart(index)),
  fc.tuple(vm, fc.boolean()).map(
    ([index, isSilent]) => (model: ModelDeployment) =>
      model.setSilent(index, isSilent),
  ),
);

describe("ServerLimits", () => {
  // Guards against a limit that grows with VMs, restarts or moves of the VM that keeps it.
  it("keeps all VMs together within a server's limit, whoever keeps it", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 40 }),
        fc.double({ min: 0.3, max: 40, noNaN: true }),
        fc.array(fc.tuple(step, fc.nat({ max: 1500 })), { maxLength: 40 }),
        async (vmCount, requestsPerSecond, steps) => {
          const model = new ModelDeployment(vmCount, requestsPerSecond);
          for (const [run, ms] of steps) {
            run(model);
            await model.wait(ms, 2);
          }
          await model.wait(5000, 2);
          const { arrivals, namedLimits } = model;
          expect(findLimitOverrun(arrivals, namedLimits)).toBeUndefined();
        },
      ),
      { seed: 27, numRuns: 60 },
    );
  });

  for (const vmCount of [1, 6, 87]) {
    it(`uses most of what a server takes with ${vmCount} VMs`, async () => {
      const requestsPerSecond = 4;
      const model = new ModelDeployment(vmCount, requestsPerSecond);
      await model.wait(20_000, 1);
      const sent = model.arrivals.filter(({ at }) => at > 10_000).length;
      expect(sent).toBeGreaterThanOrEqual(0.9 * 10 * requestsPerSecond);
      expect(sent).toBeLessThanOrEqual(10 * requestsPerSecond + 3);
    });
  }

  // Guards against a server that starts again, and gets only what its predecessor took.
  it("forgets the limit of a process that has been replaced, also at its dispatcher", async () => {
    const reports: (number | undefined)[] = [];
    const limits = new ServerLimits({
      log,
      now: () => 0,
      getVmCount: () => 1,
      getKeeper: () => "vm-1",
      report: (_service, _id, requestsPerSecond) =>
        reports.push(requestsPerSecond),
      requestPermit: () => Promise.resolve(5000),
    });
    const answer = { service: SERVICE, requestsPerSecond: 1 };
    limits.onAnswer({ id: SERVER, bornAt: 1 }, answer);
    await limits.acquirePermit(SERVER);
    limits.retain(() => ({ bornAt: 1 }));
    expect(limits.isBlocked(SERVER)).toBe(true);
    limits.retain(() => ({ bornAt: 2 }));
    expect(limits.isBlocked(SERVER)).toBe(false);
    expect(await limits.acquirePermit(SERVER)).toBe(true);
    expect(reports).toEqual([1, undefined]);
  });
});
