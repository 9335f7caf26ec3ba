/**
 * Keeps a share of the granted cost for the less urgent ranks while they wait, so that a
 * lasting overload of urgent requests does not starve them.
 * @module
 */

/** Number of ranks; the least urgent requests share the last one. */
export const RANK_COUNT = 10;
/** Share of the granted cost that all ranks below a waiting rank keep together. */
export const LOWER_RANKS_SHARE = 0.25;
/** Decay of the granted cost for each grant, so that about the last 50 count. */
const DECAY = 0.98;

/** Cost granted recently on both sides of the boundary below a rank. */
interface Boundary {
  /** To the rank itself while a lower one waited, and number of these grants. */
  upper: number;
  upperGrants: number;
  /** To all lower ranks. */
  lower: number;
}

/** Recently granted cost by rank. */
export class RankShares {
  readonly #boundaries: Boundary[] = Array.from(
    { length: RANK_COUNT },
    () => ({ upper: 0, upperGrants: 0, lower: 0 }),
  );

  /** Records a grant; `isLowerWaiting` is whether a rank below `rank` waits. */
  record(
    grant: { rank: number; cost: number },
    isLowerWaiting: boolean,
  ): void {
    const { rank, cost } = grant;
    for (let above = 0; above < rank; above++) {
      this.#add(above, { upper: 0, upperGrants: 0, lower: cost });
    }
    if (isLowerWaiting) {
      this.#add(rank, { upper: cost, upperGrants: 1, lower: 0 });
    }
  }

  /** Whether the ranks below `rank` have had less than their share. */
  isLowerDue(rank: number): boolean {
    return this.#getExcess(rank) > 0;
  }

  /**
   * Cost that more urgent ranks can be granted before requests of `rank` that cost
   * `ownCost` are, in the worst case.
   */
  getMaxCostAhead(rank: number, ownCost: number): number {
    let untilDue = 0;
    for (let above = 0; above < rank; above++) {
      untilDue += Math.max(0, -this.#getExcess(above));
    }
    return untilDue + ownCost * (LOWER_RANKS_SHARE ** -rank - 1);
  }

  /**
   * Cost by which `rank` exceeds its share against the ranks below. It may be ahead by the
   * grants that precede one of a lower rank, less that one: a single urgent request doesn't
   * have the next one wait.
   */
  #getExcess(rank: number): number {
    const { upper, upperGrants, lower } = this.#boundaries[rank]!;
    const grantsAhead = 1 / LOWER_RANKS_SHARE - 2;
    const ahead = upperGrants === 0 ? 0 : grantsAhead * upper / upperGrants;
    return upper - lower * (1 / LOWER_RANKS_SHARE - 1) - ahead;
  }

  #add(rank: number, { upper, upperGrants, lower }: Boundary): void {
    const boundary = this.#boundaries[rank]!;
    boundary.upperGrants = boundary.upperGrants * DECAY + upperGrants;
    boundary.upper = boundary.upper * DECAY + upper;
    boundary.lower = boundary.lower * DECAY + lower;
  }
}
