/**
 * Lets accepting go before reading. libuv accepts one connection in each iteration of the
 * event loop, so that long iterations keep those behind it waiting.
 * @module
 */

/** Turns in a row that are left to accepting; reading gets one after them. */
const MAX_LEFT_TURNS = 15;

let acceptedCount = 0;

/** Tells that a connection was accepted. */
export function countAccepted(): void {
  acceptedCount++;
}

/** Decides which turns of the event loop something heavy leaves to accepting. */
export class AcceptPace {
  #known = acceptedCount;
  #leftTurns = 0;

  /** Whether to leave this turn, since more connections may wait; called once a turn. */
  leavesTurn(): boolean {
    const leaves = acceptedCount > this.#known &&
      this.#leftTurns < MAX_LEFT_TURNS;
    this.#known = acceptedCount;
    this.#leftTurns = leaves ? this.#leftTurns + 1 : 0;
    return leaves;
  }
}
