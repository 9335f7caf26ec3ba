/**
 * Simulates the servers of a plain service, which run as many calls at once as they have
 * slots and queue some more, and VMs that each send them a share of the calls.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";
import { VirtualTime } from "./virtual_time.ts";

/** Load that a server reports with the end of a call. */
export interface PlainLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes now, 1 is normal. */
  readonly pace: number;
}

/** Capacity of a simulated server, and its speed over time, 1 is normal. */
export interface PlainServerTraits {
  readonly slots: number;
  readonly maxWaiting: number;
  readonly getSpeed: (now: number) => number;
  /** Whether it reports no load, whatever it runs. */
  readonly isLiar?: boolean;
  /** From then on it refuses every call. */
  readonly endsAt?: number;
}

/** One server of a plain service. */
export class PlainServerModel {
  readonly #clock: VirtualTime;
  readonly #traits: PlainServerTraits;
  readonly #queue: (() => void)[] = [];
  #running = 0;

  constructor(clock: VirtualTime, traits: PlainServerTraits) {
    this.#clock = clock;
    this.#traits = traits;
  }

  get load(): PlainLoad {
    const { slots, getSpeed, isLiar } = this.#traits;
    const pace = 1 / getSpeed(this.#clock.now());
    if (isLiar) return { running: 0, waiting: 0, slots, pace: 1 };
    const waiting = this.#queue.length;
    return { running: this.#running, waiting, slots, pace };
  }

  /** Calls in the server, and by how much they wait: 1 where none does. */
  get size(): number {
    return this.#running + this.#queue.length;
  }

  get isFull(): boolean {
    return this.#running >= this.#traits.slots;
  }

  /** How long work takes now, 1 is normal, whatever the server reports. */
  get pace(): number {
    return 1 / this.#traits.getSpeed(this.#clock.now());
  }

  /** Runs or queues a call; returns false if it takes none. */
  run(workMs: number, onEnd: () => void): boolean {
    const { slots, maxWaiting, endsAt = Infinity } = this.#traits;
    if (this.#clock.now() >= endsAt) return false;
    if (this.size >= slots + maxWaiting) return false;
    this.#queue.push(() => {
      this.#running++;
      this.#clock.schedule(workMs * this.pace, () => {
        this.#running--;
        onEnd();
        this.#startNext();
      });
    });
    this.#startNext();
    return true;
  }

  #startNext(): void {
    if (!this.isFull) this.#queue.shift()?.();
  }
}

/** How a send has ended at a VM; `load` is undefined if the server took no call. */
export interface PlainSendEnd {
  readonly ms: number;
  readonly load: PlainLoad | undefined;
}

/** A choice under test: calls `send` with the index of a server, now or later. */
export type PlainChooser = (
  vm: number,
  send: (server: number, onEnd: (end: PlainSendEnd) => void) => void,
) => void;

/** What a chooser under test may use. */
export interface PlainFleet {
  readonly clock: VirtualTime;
  readonly servers: readonly PlainServerModel[];
  readonly random: () => number;
  /** Time that a message takes to another machine. */
  readonly getTripMs: () => number;
}

/** Options of {@link simulatePlainCalls}. */
export interface PlainCallsOptions {
  readonly vms: number;
  readonly perSecond: number;
  readonly lengthMs: number;
  readonly seed: number;
  readonly servers: readonly PlainServerTraits[];
  readonly workMs: { readonly mean: number; readonly spread: number };
  readonly createChooser: (fleet: PlainFleet) => PlainChooser;
}

/** Results of a simulation. */
export interface PlainCallsResult {
  readonly p99Ms: number;
  readonly meanMs: number;
  /** Largest number of calls that waited at one server, relative to the mean of all. */
  readonly queueRatio: number;
  /** Share of the sends to a server without a free slot while another had one. */
  readonly misplaced: number;
  /** Share of the sends that a server refused. */
  readonly refused: number;
}

const WARM_UP_MS = 3000;

/** Sends calls at a steady rate, each to the server that the chooser names. */
export async function simulatePlainCalls(
  options: PlainCallsOptions,
): Promise<PlainCallsResult> {
  const { vms, perSecond, lengthMs, seed, workMs } = options;
  const clock = new VirtualTime();
  const random = createRandom(seed);
  const getTripMs = () => 0.5 + random();
  const servers = options.servers.map((traits) =>
    new PlainServerModel(clock, traits)
  );
  const choose = options.createChooser({
    clock,
    servers,
    random: createRandom(seed + 1000),
    getTripMs,
  });
  const latencies: number[] = [];
  let sends = 0, misplaced = 0, refused = 0, largest = 0, waiting = 0;

  const arrive = () => {
    const startedAt = clock.now();
    const isCounted = startedAt >= WARM_UP_MS;
    const work = drawLogNormal(random, workMs);
    choose(Math.floor(random() * vms), (index, onEnd) => {
      const sentAt = clock.now();
      const server = servers[index]!;
      const answer = (load: PlainLoad | undefined) =>
        clock.schedule(getTripMs(), () => {
          if (isCounted && load) latencies.push(clock.now() - startedAt);
          onEnd({ ms: clock.now() - sentAt, load });
        });
      clock.schedule(getTripMs(), () => {
        const hasFree = servers.some((other) => !other.isFull);
        const isMisplaced = server.isFull && hasFree;
        const isTaken = server.run(work, () => answer(server.load));
        if (!isTaken) answer(undefined);
        if (!isCounted) return;
        sends++;
        if (isMisplaced) misplaced++;
        if (!isTaken) refused++;
        const queued = servers.map(({ load }) => load.waiting);
        largest = Math.max(largest, ...queued);
        for (const count of queued) waiting += count / servers.length;
      });
    });
    clock.schedule(-Math.log(1 - random()) * 1000 / perSecond, arrive);
  };
  arrive();
  await clock.run(WARM_UP_MS + lengthMs);
  latencies.sort((a, b) => a - b);
  return {
    p99Ms: latencies[Math.floor(0.99 * latencies.length)] ?? Infinity,
    meanMs: latencies.reduce((sum, ms) => sum + ms, 0) / latencies.length,
    queueRatio: largest / (waiting / sends),
    misplaced: misplaced / sends,
    refused: refused / sends,
  };
}

function drawLogNormal(
  random: () => number,
  { mean, spread }: { mean: number; spread: number },
): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return mean * Math.exp(spread * normal - spread * spread / 2);
}
