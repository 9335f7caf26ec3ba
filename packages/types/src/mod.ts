/**
 * Shared types, clock and timer helpers. Durations are in milliseconds, sizes in bytes
 * and lengths in tokens unless a name says otherwise.
 * @module
 */
export * from "./clock.ts";
export * from "./clock_jump_detector.ts";
export * from "./recent_values.ts";
export * from "./signal_queue.ts";

/** Whether a request took effect, as far as is known when it is answered. */
export enum Outcome {
  /** It did not run and will not run later. */
  NotRun = "not-run",
  /** It may have run; the caller has to check its effects. */
  Unknown = "unknown",
  /** It ran. */
  Ran = "ran",
}

/** Stage of a model request that a server runs. */
export enum ServerRole {
  Prefill = "prefill",
  Decode = "decode",
}

/** Priority classes of requests, the most urgent first. */
export enum Priority {
  Interactive = 0,
  Normal = 1,
  Batch = 2,
}

/** State that an entry VM reports to its peers. */
export enum MemberState {
  /** Started, but has not loaded the records yet; it takes no roles. */
  Joining = "joining",
  Ready = "ready",
  /** Draining; hands its roles over to other members. */
  Leaving = "leaving",
}

/**
 * Longest name that VMs exchange, in UTF-16 code units. Servers, operators and callers give
 * names of any form; this one still fits a header.
 */
export const MAX_NAME_LENGTH = 4096;

/** Longest key of an object in the object API, in UTF-16 code units. */
export const MAX_KEY_LENGTH = MAX_NAME_LENGTH;

/** Identifies one run of a process: its start time in milliseconds since the epoch. */
export type Incarnation = number;

/** A model server or a plain-service server as declared in a record. */
export interface Upstream {
  readonly id: string;
  /** Base URL, without a trailing slash. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** One VM of the platform's VM list. */
export interface VmListEntry {
  readonly id: string;
  readonly kind: "entry" | "upstream";
  /** `host:port` of the peer listener for entry VMs; empty for upstreams. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly cell?: string | undefined;
  /** CPU cores of an entry VM, which may be a fraction; 1 when absent. */
  readonly strength?: number | undefined;
  readonly state: "live" | "leaving";
}

/** The caller that an API key belongs to. */
export interface CallerIdentity {
  readonly workspace: string;
  readonly office: string;
}

/** Resolves after `ms`, or as soon as `signal` is aborted. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener("abort", finish, { once: true });
  });
}

/** Returns some of the items, drawn at random and in random order. */
export function drawSample<T>(
  items: readonly T[],
  options: { count: number; random?: () => number },
): T[] {
  const { count, random = Math.random } = options;
  return items.map((item) => ({ item, rank: random() }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, count)
    .map(({ item }) => item);
}

/**
 * Settles as `promise` does, or resolves to `fallback` after `ms`. The promise itself
 * is not cancelled.
 */
export function withTimeout<T, F>(
  promise: Promise<T>,
  options: { ms: number; fallback: F },
): Promise<T | F> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(options.fallback), options.ms);
    promise.then((value) => {
      clearTimeout(timer);
      resolve(value);
    }, (err) => {
      clearTimeout(timer);
      reject(err);
    });
  });
}
