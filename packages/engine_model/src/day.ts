/**
 * One day in virtual time: callers with deadlines and one retry, the real dispatcher,
 * and model servers.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  Dispatcher,
  type Grant,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import { Priority, ServerRole } from "@bitternfall/types";
import {
  type Arrival,
  createArrivals,
  type Load,
  LONGEST_PATIENCE_MS,
} from "./load.ts";
import { DecodeModel, PrefillModel, type ServerTraits } from "./servers.ts";
import { VirtualTime } from "./virtual_time.ts";

/** A deployment and its load. */
export interface DayOptions {
  readonly traits: ServerTraits;
  readonly prefills: number;
  readonly decodes: number;
  readonly load: Load;
  readonly seed: number;
  /** Time to the first event that is aimed at. */
  readonly aimMs: number;
  /** Credit of an answer that is late, of 1. */
  readonly lateCredit: number;
  readonly config?: Partial<ServiceConfig>;
  /** What a request asks the dispatcher for, beside what all have. */
  readonly describe: (
    arrival: Arrival,
    waitedMs: number,
  ) => Partial<AcquireRequest>;
}

/** What became of a day's requests. */
export interface DayResult {
  readonly asked: number;
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Credit earned of credit owed. */
  readonly credit: number;
  /** The same over the two worst spans of two seconds. */
  readonly worstCredit: number;
  readonly preemptions: number;
  /** Prompt tokens read for nothing, of all that were read. */
  readonly wastedShare: number;
  readonly refusedByDecode: number;
  /** Share served of the largest tenth of requests. */
  readonly largestServed: number;
  /** Mean share of the decode memory that is in use. */
  readonly grants: number;
}

interface Outcome {
  credit: number;
  kind: "on-time" | "late" | "refused" | "open";
}

const RPC_MS = 2;
const TRANSFER_MS = 6;
const WINDOW_MS = 2000;
const LARGEST_SHARE = 0.1;
/** Callers wait at most this share of what is left before they come back. */
const RETRY_SHARE = 1 / 3;

/** Plays one day. */
export async function playDay(options: DayOptions): Promise<DayResult> {
  const day = new Day(options);
  return await day.play();
}

class Day {
  readonly #options: DayOptions;
  readonly #time = new VirtualTime();
  readonly #dispatcher: Dispatcher;
  readonly #prefills = new Map<string, PrefillModel>();
  readonly #decodes = new Map<string, DecodeModel>();
  readonly #outcomes = new Map<Arrival, Outcome>();
  #readTokens = 0;
  #wastedTokens = 0;
  #refusedByDecode = 0;
  #grants = 0;

  constructor(options: DayOptions) {
    this.#options = options;
    const { prefills, decodes, traits, config, aimMs } = options;
    const servers: ServiceConfig["servers"][number][] = [];
    for (let index = 0; index < prefills; index++) {
      const id = `p${index}`;
      this.#prefills.set(id, new PrefillModel(this.#time, traits));
      servers.push({ id, role: ServerRole.Prefill, availabilityZone: "a" });
    }
    for (let index = 0; index < decodes; index++) {
      const id = `d${index}`;
      this.#decodes.set(id, new DecodeModel(this.#time, traits));
      servers.push({ id, role: ServerRole.Decode, availabilityZone: "a" });
    }
    this.#dispatcher = new Dispatcher({
      service: "lm",
      config: {
        servers,
        firstOutputMs: aimMs,
        betweenOutputsMs: 300,
        decodeSlots: traits.slots,
        memoryTokens: traits.memoryTokens,
        tokensPerOutput: traits.tokensPerEvent,
        prefillTokensPerMs: traits.prefillTokensPerMs,
        hasReportedRoles: true,
        perWorkspaceInFlight: Infinity,
        weights: { goodput: 0, wastedPrefill: 1 },
        ...config,
      },
      now: this.#time.now,
      schedule: this.#time.schedule,
    });
  }

  async play(): Promise<DayResult> {
    const { load, seed } = this.#options;
    const arrivals = createArrivals(load, seed);
    for (const arrival of arrivals) {
      this.#outcomes.set(arrival, { credit: 0, kind: "open" });
      this.#time.schedule(arrival.atMs, () => void this.#ask(arrival, 1));
    }
    const sample = () => {
      this.#dispatcher.samplePressure();
      this.#time.schedule(200, sample);
    };
    sample();
    await this.#time.run(load.lengthMs + 2 * LONGEST_PATIENCE_MS);
    return this.#summarize(arrivals);
  }

  async #ask(arrival: Arrival, attempt: number): Promise<void> {
    const { aimMs, describe } = this.#options;
    const now = this.#time.now();
    const waitedMs = now - arrival.atMs;
    const decision = await this.#dispatcher.acquire({
      requestId: `${arrival.id}.${attempt}`,
      attempt: 1,
      workspace: "w",
      owner: "vm",
      availabilityZone: "a",
      priority: Priority.Normal,
      promptTokens: arrival.promptTokens,
      outputTokens: 0,
      maxTokens: 1870,
      deadline: arrival.atMs + aimMs,
      hashes: [],
      avoid: [],
      ...describe(arrival, waitedMs),
    });
    if (decision.kind === "grant") {
      this.#grants++;
      this.#time.schedule(RPC_MS, () => this.#run(arrival, decision.grant));
    } else this.#onRefused(arrival, { attempt, decision });
  }

  #onRefused(
    arrival: Arrival,
    { attempt, decision }: {
      attempt: number;
      decision: Extract<Decision, { kind: "refusal" }>;
    },
  ): void {
    const leftMs = arrival.atMs + arrival.patienceMs - this.#time.now();
    if (attempt > 1 || leftMs <= 0) {
      this.#outcomes.get(arrival)!.kind = "refused";
      return;
    }
    const ms = Math.min(decision.retryAfterMs, leftMs * RETRY_SHARE);
    this.#time.schedule(ms, () => void this.#ask(arrival, attempt + 1));
  }

  #run(arrival: Arrival, grant: Grant): void {
    this.#readTokens += arrival.promptTokens;
    this.#prefills.get(grant.prefill)!.prefill(arrival.promptTokens, () => {
      const prefilledAt = this.#time.now();
      this.#time.schedule(RPC_MS, () => this.#dispatcher.prefilled(grant));
      this.#time.schedule(
        RPC_MS + TRANSFER_MS,
        () => this.#decode(arrival, { grant, prefilledAt }),
      );
    });
  }

  #decode(
    arrival: Arrival,
    { grant, prefilledAt }: { grant: Grant; prefilledAt: number },
  ): void {
    const decode = this.#decodes.get(grant.decode)!;
    const startedAt = this.#time.now();
    let lastAt = 0;
    let slow = false;
    const isIn = decode.admit({
      promptTokens: arrival.promptTokens,
      events: arrival.events,
      made: 0,
      onEvent: () => {
        const now = this.#time.now();
        if (lastAt === 0) {
          this.#onFirstEvent(arrival);
          this.#dispatcher.started(grant, {
            cachedTokens: 0,
            transferMs: now - prefilledAt,
          });
        } else if (now - lastAt > 300) slow = true;
        lastAt = now;
      },
      onEnd: () => {
        this.#dispatcher.release(grant, {
          outputTokens: arrival.events,
          intervalMs: (this.#time.now() - startedAt) / arrival.events,
        });
        const outcome = this.#outcomes.get(arrival)!;
        if (slow && outcome.kind === "on-time") {
          outcome.kind = "late";
          outcome.credit = this.#options.lateCredit;
        }
      },
    });
    if (isIn) return;
    this.#refusedByDecode++;
    this.#wastedTokens += arrival.promptTokens;
    this.#dispatcher.release(grant, {
      outputTokens: 0,
      intervalMs: 0,
      failedServer: grant.decode,
    });
    this.#outcomes.get(arrival)!.kind = "refused";
  }

  #onFirstEvent(arrival: Arrival): void {
    const { aimMs, lateCredit } = this.#options;
    const outcome = this.#outcomes.get(arrival)!;
    const isOnTime = this.#time.now() - arrival.atMs <= aimMs;
    outcome.kind = isOnTime ? "on-time" : "late";
    outcome.credit = isOnTime ? 1 : lateCredit;
  }

  #summarize(arrivals: readonly Arrival[]): DayResult {
    const count = (kind: Outcome["kind"]) =>
      arrivals.filter((arrival) => this.#outcomes.get(arrival)!.kind === kind)
        .length;
    let reread = 0;
    let preemptions = 0;
    for (const decode of this.#decodes.values()) {
      reread += decode.rereadTokens;
      preemptions += decode.preemptions;
    }
    const wasted = this.#wastedTokens + reread;
    const largest = [...arrivals].sort((a, b) =>
      b.promptTokens - a.promptTokens
    ).slice(0, Math.ceil(LARGEST_SHARE * arrivals.length));
    const served = largest.filter((arrival) =>
      this.#outcomes.get(arrival)!.credit > 0
    );
    return {
      asked: arrivals.length,
      onTime: count("on-time"),
      late: count("late"),
      refused: count("refused") + count("open"),
      credit: this.#getCredit(arrivals),
      worstCredit: this.#getWorstCredit(arrivals),
      preemptions,
      wastedShare: wasted / Math.max(1, this.#readTokens + reread),
      refusedByDecode: this.#refusedByDecode,
      largestServed: served.length / largest.length,
      grants: this.#grants,
    };
  }

  #getCredit(arrivals: readonly Arrival[]): number {
    let credit = 0;
    for (const arrival of arrivals) {
      credit += this.#outcomes.get(arrival)!.credit;
    }
    return credit / Math.max(1, arrivals.length);
  }

  #getWorstCredit(arrivals: readonly Arrival[]): number {
    const windows = new Map<number, Arrival[]>();
    for (const arrival of arrivals) {
      const window = Math.floor(arrival.atMs / WINDOW_MS);
      windows.set(window, [...windows.get(window) ?? [], arrival]);
    }
    const credits = [...windows.values()].map((window) =>
      this.#getCredit(window)
    ).sort((a, b) => a - b);
    const worst = credits.slice(0, 2);
    return worst.reduce((sum, value) => sum + value, 0) / worst.length;
  }
}
