/**
 * Speeds of simulated servers: a lasting one for each server, and short slowdowns of a
 * server that shares its machine.
 * @module
 */
import { createRandom } from "@bitternfall/stand-ins";
import type { SpeedAt } from "./servers.ts";

/** Slowdowns of servers that share their machines. */
export interface Slowdowns {
  /** Factor by which work takes longer. */
  readonly factor: number;
  readonly forMs: number;
  /** Share of the time that a server is slowed, from 0 to 1. */
  readonly share: number;
}

/** Lasting and passing speeds of the servers of a deployment. */
export interface ServerSpeeds {
  /** Lasting speeds of the prefill servers, assigned in turn; 1 for all if absent. */
  readonly prefills?: readonly number[] | undefined;
  /** The same for the decode servers. */
  readonly decodes?: readonly number[] | undefined;
  readonly slowdowns?: Slowdowns | undefined;
}

/**
 * Returns the speed of a server with the lasting speed `base`. It is slowed once in each
 * period of equal length, at a time drawn for the period; the same seed draws the same times.
 */
export function createSpeed(
  base: number,
  slowdowns: Slowdowns | undefined,
  seed: number,
): SpeedAt {
  if (slowdowns === undefined) return () => base;
  const { factor, forMs, share } = slowdowns;
  const periodMs = forMs / share;
  const random = createRandom(seed);
  const startMs: number[] = [];
  return (now) => {
    const period = Math.floor(now / periodMs);
    while (startMs.length <= period) {
      startMs.push(random() * (periodMs - forMs));
    }
    const sinceMs = now - period * periodMs - startMs[period]!;
    return sinceMs >= 0 && sinceMs < forMs ? base / factor : base;
  };
}
