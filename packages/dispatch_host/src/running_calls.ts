/**
 * Registry of the model requests in flight on this VM, from which dispatchers learn which
 * of their grants still run.
 * @module
 */
import type { Grant, Phase } from "@bitternfall/dispatch";

/** A grant that a request of this VM uses. */
export interface RunningGrant {
  readonly service: string;
  readonly grant: Grant;
  readonly phase: Phase;
}

/** A model request in flight. */
export interface RunningCall {
  /** Number of the current attempt, also while it still waits for a grant. */
  readonly attempt: number;
  /** Grant of the current attempt, if any. */
  readonly currentGrant: RunningGrant | undefined;
}

/** The model requests in flight on this VM. */
export class RunningCalls {
  readonly #calls = new Map<string, RunningCall>();

  /** Number of requests in flight. */
  get size(): number {
    return this.#calls.size;
  }

  add(requestId: string, call: RunningCall): void {
    this.#calls.set(requestId, call);
  }

  remove(requestId: string): void {
    this.#calls.delete(requestId);
  }

  /** Whether an attempt is the current one of a request in flight. */
  isRunningAttempt(requestId: string, attempt: number): boolean {
    return this.#calls.get(requestId)?.attempt === attempt;
  }

  /** Returns the grants of a service that requests of this VM use. */
  listGrants(service: string): RunningGrant[] {
    const found: RunningGrant[] = [];
    for (const { currentGrant } of this.#calls.values()) {
      if (currentGrant?.service === service) found.push(currentGrant);
    }
    return found;
  }
}
