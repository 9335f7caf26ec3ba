/**
 * Shared enums and identifiers. Durations are milliseconds, sizes bytes and
 * lengths tokens unless a name says otherwise.
 * @module
 */
export * from "./recent_values.ts";

/** What is known of a request's effect once its answer has been given. */
export enum Outcome {
  /** It did not run and never will. */
  NotRun = "not-run",
  /** It may have run; the caller has to look. */
  Unknown = "unknown",
  /** It ran. */
  Ran = "ran",
}

/** The stage of a model request that a server serves. */
export enum ServerRole {
  Prefill = "prefill",
  Decode = "decode",
}

/** Priority classes, the most urgent first. */
export enum Priority {
  Interactive = 0,
  Normal = 1,
  Batch = 2,
}

/** State of an entry VM as its peers see it. */
export enum MemberState {
  /** Started, without records yet; it takes no roles. */
  Joining = "joining",
  Ready = "ready",
  /** Draining; it hands its roles over. */
  Leaving = "leaving",
}

/** A process incarnation: milliseconds since the epoch at start-up. */
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
  /** Share of a core, or number of cores, that an entry VM has; 1 when absent. */
  readonly strength?: number | undefined;
  readonly state: "live" | "leaving";
}

/** The caller that a key belongs to. */
export interface CallerIdentity {
  readonly workspace: string;
  readonly office: string;
}

/** A clock in milliseconds; monotonic unless stated otherwise. */
export type Clock = () => number;

/** Clock of the running process, unaffected by changes of the system time. */
export const monotonicNow: Clock = () => performance.now();

/** Resolves after `ms`, or at once when `signal` is aborted. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const done = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", done);
      resolve();
    };
    const timer = setTimeout(done, ms);
    signal?.addEventListener("abort", done, { once: true });
  });
}

/**
 * Settles as `promise` does, or resolves to `fallback` after `ms`.
 * The promise itself goes on.
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
