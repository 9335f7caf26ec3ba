/**
 * Simulates one day in virtual time: callers with deadlines that retry once, the real
 * dispatcher, and simulated servers.
 * @module
 */
import {
  type AcquireRequest,
  type Decision,
  Dispatcher,
  type Grant,
  NO_PREFILL,
  type PolicyName,
  type ServiceConfig,
} from "@bitternfall/dispatch";
import { Priority, ServerRole } from "@bitternfall/types";
import {
  type Arrival,
  createArrivals,
  type Load,
  MAX_PATIENCE_MS,
} from "./load.ts";
import { DecodeModel, PrefillModel, type ServerTraits } from "./servers.ts";
import { VirtualTime } from "./virtual_time.ts";

/** Deployment and load of a simulated day. */
export interface DayOptions {
  readonly traits: ServerTraits;
  readonly prefills: number;
  readonly decodes: number;
  readonly load: Load;
  /** Requests of the day in order of arrival, instead of those drawn from `load`. */
  readonly arrivals?: readonly Arrival[];
  readonly seed: number;
  /** Target for the time from a request's arrival to its first output event. */
  readonly aimMs: number;
  /** Credit of a late response, from 0 to 1; a response on time has credit 1. */
  readonly lateCredit: number;
  readonly config?: Partial<ServiceConfig>;
  readonly policy?: PolicyName;
  /** Returns the fields of an acquire request that override the defaults. */
  readonly buildRequestFields: (
    arrival: Arrival,
    waitedMs: number,
  ) => Partial<AcquireRequest>;
  /** Called at the end of the day with the outcome of each request. */
  readonly onOutcome?: (arrival: Arrival, kind: OutcomeKind) => void;
}

/** What became of a request; one without any output is open at the end of the day. */
export type OutcomeKind = "on-time" | "late" | "refused" | "open";

/** Results of a day. */
export interface DayResult {
  /** Number of requests, counted without retries. */
  readonly asked: number;
  readonly onTime: number;
  /** Requests with a late first event, or on time but with a gap over 300 ms between events. */
  readonly late: number;
  /** Requests without any output by the end of the day. */
  readonly refused: number;
  /** Mean credit of all requests, from 0 to 1. */
  readonly credit: number;
  /** Mean credit of the two 2 s windows of arrivals with the lowest credit. */
  readonly worstCredit: number;
  readonly preemptions: number;
  /** Share of the prefilled tokens that were wasted or computed again after a preemption. */
  readonly wastedShare: number;
  /** Requests that a decode server had no slot or memory for after their prefill. */
  readonly refusedByDecode: number;
  /** Share of the requests in the largest tenth by prompt that were served. */
  readonly largestServed: number;
  /** Number of grants. */
  readonly grants: number;
}

interface Outcome {
  credit: number;
  kind: OutcomeKind;
}

const RPC_LATENCY_MS = 2;
const KV_TRANSFER_MS = 6;
const CREDIT_WINDOW_MS = 2000;
const LARGEST_REQUESTS_SHARE = 0.1;
/** A refused caller retries after at most this share of its remaining patience. */
const MAX_RETRY_DELAY_SHARE = 1 / 3;

/** Simulates one day. */
export async function simulateDay(options: DayOptions): Promise<DayResult> {
  const day = new DaySimulation(options);
  return await day.run();
}

class DaySimulation {
  readonly #options: DayOptions;
  readonly #clock = new VirtualTime();
  readonly #dispatcher: Dispatcher;
  readonly #prefills = new Map<string, PrefillModel>();
  readonly #decodes = new Map<string, DecodeModel>();
  readonly #outcomes = new Map<Arrival, Outcome>();
  #prefilledTokens = 0;
  #wastedTokens = 0;
  #refusedByDecode = 0;
  #grants = 0;

  constructor(options: DayOptions) {
    this.#options = options;
    const { prefills, decodes, traits, config, aimMs, policy } = options;
    const servers: ServiceConfig["servers"][number][] = [];
    for (let index = 0; index < prefills; index++) {
      const id = `p${index}`;
      this.#prefills.set(id, new PrefillModel(this.#clock, traits));
      servers.push({ id, role: ServerRole.Prefill, availabilityZone: "a" });
    }
    for (let index = 0; index < decodes; index++) {
      const id = `d${index}`;
      this.#decodes.set(id, new DecodeModel(this.#clock, traits));
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
      ...(policy === undefined ? {} : { policy }),
      now: this.#clock.now,
      schedule: this.#clock.schedule,
    });
  }

  async run(): Promise<DayResult> {
    const { load, seed, onOutcome } = this.#options;
    const arrivals = this.#options.arrivals ?? createArrivals(load, seed);
    for (const arrival of arrivals) {
      this.#outcomes.set(arrival, { credit: 0, kind: "open" });
      this.#clock.schedule(
        arrival.atMs,
        () => void this.#requestServers(arrival, 1),
      );
    }
    const samplePressure = () => {
      this.#dispatcher.samplePressure();
      this.#clock.schedule(200, samplePressure);
    };
    samplePressure();
    await this.#clock.run(load.lengthMs + 2 * MAX_PATIENCE_MS);
    for (const arrival of arrivals) {
      onOutcome?.(arrival, this.#outcomes.get(arrival)!.kind);
    }
    return this.#summarize(arrivals);
  }

  async #requestServers(arrival: Arrival, attempt: number): Promise<void> {
    const { aimMs, buildRequestFields } = this.#options;
    const now = this.#clock.now();
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
      ...buildRequestFields(arrival, waitedMs),
    });
    if (decision.kind === "grant") {
      this.#grants++;
      this.#clock.schedule(
        RPC_LATENCY_MS,
        () => this.#startPrefill(arrival, decision.grant),
      );
    } else this.#onRefused(arrival, { attempt, decision });
  }

  #onRefused(
    arrival: Arrival,
    { attempt, decision }: {
      attempt: number;
      decision: Extract<Decision, { kind: "refusal" }>;
    },
  ): void {
    const remainingMs = arrival.atMs + arrival.patienceMs - this.#clock.now();
    if (attempt > 1 || remainingMs <= 0) {
      this.#outcomes.get(arrival)!.kind = "refused";
      return;
    }
    const retryDelayMs = Math.min(
      decision.retryAfterMs,
      remainingMs * MAX_RETRY_DELAY_SHARE,
    );
    this.#clock.schedule(
      retryDelayMs,
      () => void this.#requestServers(arrival, attempt + 1),
    );
  }

  #startPrefill(arrival: Arrival, grant: Grant): void {
    this.#prefilledTokens += arrival.promptTokens;
    if (grant.prefill === NO_PREFILL) {
      const prefilledAt = this.#clock.now();
      return this.#startDecode(arrival, { grant, prefilledAt });
    }
    this.#prefills.get(grant.prefill)!.prefill(arrival.promptTokens, () => {
      const prefilledAt = this.#clock.now();
      this.#clock.schedule(
        RPC_LATENCY_MS,
        () => this.#dispatcher.prefilled(grant),
      );
      this.#clock.schedule(
        RPC_LATENCY_MS + KV_TRANSFER_MS,
        () => this.#startDecode(arrival, { grant, prefilledAt }),
      );
    });
  }

  #startDecode(
    arrival: Arrival,
    { grant, prefilledAt }: { grant: Grant; prefilledAt: number },
  ): void {
    const server = this.#decodes.get(grant.decode)!;
    const startedAt = this.#clock.now();
    let lastEventAt = 0;
    let hasLateEvent = false;
    const isAdmitted = server.admit({
      promptTokens: arrival.promptTokens,
      events: arrival.events,
      producedEvents: 0,
      ...(arrival.rank === undefined ? {} : { rank: arrival.rank }),
      needsPrefill: grant.prefill === NO_PREFILL,
      onEvent: () => {
        const now = this.#clock.now();
        if (lastEventAt === 0) {
          this.#onFirstEvent(arrival);
          this.#dispatcher.started(grant, {
            cachedTokens: 0,
            transferMs: now - prefilledAt,
          });
        } else if (now - lastEventAt > 300) hasLateEvent = true;
        lastEventAt = now;
      },
      onEnd: () => {
        this.#dispatcher.release(grant, {
          outputTokens: arrival.events,
          intervalMs: (this.#clock.now() - startedAt) / arrival.events,
        });
        const outcome = this.#outcomes.get(arrival)!;
        if (hasLateEvent && outcome.kind === "on-time") {
          outcome.kind = "late";
          outcome.credit = this.#options.lateCredit;
        }
      },
    });
    if (isAdmitted) return;
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
    const { lateCredit } = this.#options;
    const aimMs = arrival.aimMs ?? this.#options.aimMs;
    const outcome = this.#outcomes.get(arrival)!;
    const isOnTime = this.#clock.now() - arrival.atMs <= aimMs;
    outcome.kind = isOnTime ? "on-time" : "late";
    outcome.credit = isOnTime ? 1 : lateCredit;
  }

  #summarize(arrivals: readonly Arrival[]): DayResult {
    const count = (kind: Outcome["kind"]) =>
      arrivals.filter((arrival) => this.#outcomes.get(arrival)!.kind === kind)
        .length;
    let recomputedTokens = 0;
    let preemptions = 0;
    for (const decode of this.#decodes.values()) {
      recomputedTokens += decode.recomputedTokens;
      preemptions += decode.preemptions;
    }
    const wastedTokens = this.#wastedTokens + recomputedTokens;
    const largest = [...arrivals].sort((a, b) =>
      b.promptTokens - a.promptTokens
    ).slice(0, Math.ceil(LARGEST_REQUESTS_SHARE * arrivals.length));
    const served = largest.filter((arrival) =>
      this.#outcomes.get(arrival)!.credit > 0
    );
    return {
      asked: arrivals.length,
      onTime: count("on-time"),
      late: count("late"),
      refused: count("refused") + count("open"),
      credit: this.#getMeanCredit(arrivals),
      worstCredit: this.#getWorstWindowsCredit(arrivals),
      preemptions,
      wastedShare: wastedTokens /
        Math.max(1, this.#prefilledTokens + recomputedTokens),
      refusedByDecode: this.#refusedByDecode,
      largestServed: served.length / largest.length,
      grants: this.#grants,
    };
  }

  #getMeanCredit(arrivals: readonly Arrival[]): number {
    let credit = 0;
    for (const arrival of arrivals) {
      credit += this.#outcomes.get(arrival)!.credit;
    }
    return credit / Math.max(1, arrivals.length);
  }

  #getWorstWindowsCredit(arrivals: readonly Arrival[]): number {
    const windows = new Map<number, Arrival[]>();
    for (const arrival of arrivals) {
      const window = Math.floor(arrival.atMs / CREDIT_WINDOW_MS);
      windows.set(window, [...windows.get(window) ?? [], arrival]);
    }
    const credits = [...windows.values()].map((window) =>
      this.#getMeanCredit(window)
    ).sort((a, b) => a - b);
    const worst = credits.slice(0, 2);
    return worst.reduce((sum, value) => sum + value, 0) / worst.length;
  }
}
