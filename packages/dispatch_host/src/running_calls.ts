/**
 * Model requests that this VM runs, so that dispatchers can ask which of their grants
 * are still claimed.
 * @module
 */
import type { Grant, Phase } from "@bitternfall/dispatch";

/** A grant that is in use here. */
export interface RunningGrant {
  readonly service: string;
  readonly grant: Grant;
  readonly phase: Phase;
}

/** A model request in flight. */
export interface RunningCall {
  /** The attempt under way, also while its servers are still being asked for. */
  readonly attempt: number;
  /** The grant under way, if any. */
  readonly current: RunningGrant | undefined;
}

/** The running model requests of this VM. */
export class RunningCalls {
  readonly #calls = new Map<string, RunningCall>();

  get size(): number {
    return this.#calls.size;
  }

  add(requestId: string, call: RunningCall): void {
    this.#calls.set(requestId, call);
  }

  remove(requestId: string): void {
    this.#calls.delete(requestId);
  }

  /** Whether an attempt is still wanted. */
  owns(requestId: string, attempt: number): boolean {
    return this.#calls.get(requestId)?.attempt === attempt;
  }

  /** Grants of a service that are in use here. */
  listGrants(service: string): RunningGrant[] {
    const found: RunningGrant[] = [];
    for (const { current } of this.#calls.values()) {
      if (current?.service === service) found.push(current);
    }
    return found;
  }
}
