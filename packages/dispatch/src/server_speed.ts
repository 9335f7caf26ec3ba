/**
 * Estimates how fast each server of a role is relative to the mean of its service, from the
 * work that ended there: decode servers by the time between outputs of a run, prefill
 * servers by the time per token of a prompt.
 * @module
 */

/** Speed estimate of one server. */
export interface ServerSpeed {
  /** Relative speed; 1 unless the server is known to differ from the mean. */
  speed: number;
  /** Mean logarithm of its time per unit of work, relative to the level of the service. */
  meanLog: number;
  runs: number;
  /** Decayed number of periods without a common slow moment that the runs cover. */
  periods: number;
  lastRunAt: number;
}

/** A finished run or prefill. */
export interface SpeedSample {
  /** Time per unit of work, an output or a token of a prompt; greater than 0. */
  readonly unitMs: number;
  readonly durationMs: number;
  readonly now: number;
}

/** Share of the newest run in a server's mean; about 100 runs show a change of its speed. */
const SMOOTHING = 0.01;
/** Share of the newest run in the service's level and in the variance of its runs. */
const LEVEL_SMOOTHING = 0.05;
const VARIANCE_SMOOTHING = 0.02;
/** Assumed variance until it has been measured: runs that differ by about 20%. */
const INITIAL_VARIANCE = 0.04;
/** Runs of a server, and the periods that they cover, before its speed is used. */
const MIN_RUNS = 5;
const MIN_PERIODS = 2;
/**
 * Shortest period that counts as independent of the one before. A machine that is shared
 * slows its server for several hundred milliseconds, which affects all runs of that time.
 */
const MIN_PERIOD_MS = 1000;
/**
 * Standard errors by which a server has to differ. Some 50 servers are compared after every
 * run, so a difference that is rare in a single comparison occurs on some equal server.
 */
const MIN_STANDARD_ERRORS = 4;
/** Difference, about one run in twelve, below which a server's share of runs is the same. */
const MIN_DIFFERENCE = 0.08;
/** A known difference is given up below this share of the threshold, so that it is stable. */
const RELEASE_SHARE = 0.5;
/** Largest difference from the service's level that one run may show, as a logarithm. */
const MAX_LOG = Math.log(8);

/** What identifies the process that serves under a server's id. */
export interface ServerProcess {
  readonly softwareVersion?: string | undefined;
  readonly bornAt?: number | undefined;
}

/** Stores a server's process; true if it is another one than before. */
export function replaceProcess(
  server: {
    softwareVersion: string | undefined;
    bornAt: number | undefined;
  },
  { softwareVersion, bornAt }: ServerProcess,
): boolean {
  const isNew = softwareVersion !== server.softwareVersion ||
    bornAt !== server.bornAt;
  server.softwareVersion = softwareVersion;
  server.bornAt = bornAt;
  return isNew;
}

/** Returns the estimate of a server without runs: the mean speed. */
export function createServerSpeed(): ServerSpeed {
  return {
    speed: 1,
    meanLog: 0,
    runs: 0,
    periods: 0,
    lastRunAt: -Infinity,
  };
}

/**
 * Compares the servers of one role. The logarithm of a run's time per unit of work is taken
 * as the sum of the service's level, which follows the load, and the server's mean.
 */
export class SpeedEstimator {
  #level: number | undefined;
  #variance = INITIAL_VARIANCE;
  /** Mean of the servers' means; their speeds are relative to it. */
  #center = 0;
  #meanSpeed = 1;
  #fastest = 1;

  /** Time per unit of work at a server of mean speed. */
  get meanUnitMs(): number {
    return Math.exp((this.#level ?? 0) + this.#center);
  }

  /** Mean of the servers' relative speeds. */
  get meanSpeed(): number {
    return this.#meanSpeed;
  }

  /** Relative speed of the fastest server. */
  get fastest(): number {
    return this.#fastest;
  }

  /** Adds a run of `server`, which is one of `servers`. */
  record(
    server: ServerSpeed,
    sample: SpeedSample,
    servers: ReadonlyMap<unknown, ServerSpeed>,
  ): void {
    const { unitMs, durationMs, now } = sample;
    const log = Math.log(unitMs);
    this.#level ??= log;
    const difference = Math.max(
      -MAX_LOG,
      Math.min(MAX_LOG, log - this.#level),
    );
    const residual = difference - server.meanLog;
    server.runs++;
    const weight = Math.max(1 / server.runs, SMOOTHING);
    server.meanLog += weight * residual;
    const periodMs = Math.max(MIN_PERIOD_MS, durationMs);
    const period = Math.min(1, (now - server.lastRunAt) / periodMs);
    server.periods = server.periods * (1 - SMOOTHING) + period;
    server.lastRunAt = now;
    if (server.runs > 1) this.#level += LEVEL_SMOOTHING * residual;
    // Runs of one period deviate less from their own mean than from those of other periods.
    if (server.periods >= MIN_PERIODS) {
      this.#variance += VARIANCE_SMOOTHING *
        (residual * residual - this.#variance);
    }
    this.#center = getCenter(servers);
    const speed = this.#getSpeed(server);
    if (speed === server.speed) return;
    server.speed = speed;
    this.update(servers);
  }

  /** Updates what depends on all servers; call when servers are added or removed. */
  update(servers: ReadonlyMap<unknown, ServerSpeed>): void {
    let sum = 0;
    let count = 0;
    this.#fastest = 0;
    for (const { speed } of servers.values()) {
      sum += speed;
      count++;
      this.#fastest = Math.max(this.#fastest, speed);
    }
    this.#meanSpeed = count === 0 ? 1 : sum / count;
    if (count === 0) this.#fastest = 1;
  }

  #getSpeed(server: ServerSpeed): number {
    if (server.runs < MIN_RUNS || server.periods < MIN_PERIODS) return 1;
    const difference = server.meanLog - this.#center;
    const standardError = Math.sqrt(this.#variance / server.periods);
    const threshold = Math.max(
      MIN_DIFFERENCE,
      MIN_STANDARD_ERRORS * standardError,
    );
    const share = server.speed === 1 ? 1 : RELEASE_SHARE;
    return Math.abs(difference) > share * threshold ? Math.exp(-difference) : 1;
  }
}

/** Mean of the means of all servers that have had runs. */
function getCenter(servers: ReadonlyMap<unknown, ServerSpeed>): number {
  let sum = 0;
  let count = 0;
  for (const { meanLog, runs } of servers.values()) {
    if (runs === 0) continue;
    sum += meanLog;
    count++;
  }
  return count === 0 ? 0 : sum / count;
}
