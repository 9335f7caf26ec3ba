/**
 * Checks how VMs that are cut from all servers serve their callers, by the users' arithmetic.
 * @module
 */

/** A caller's first try of a request. */
export interface FirstTry {
  readonly at: number;
  /** Whether its VM was cut from all servers. */
  readonly isCut: boolean;
  readonly isServed: boolean;
}

/** How much less often cut VMs may serve. */
export interface RecoveryBound {
  /** Time from the start of the cut until tries are counted. */
  readonly settleMs: number;
  /** Share of the others' rate at which cut VMs have to serve. */
  readonly share: number;
  /** Failed tries that are allowed at cut VMs: these, and a share of all tries. */
  readonly slack: number;
  readonly ratio: number;
}

/** The users' bound. */
export const RECOVERY_BOUND: RecoveryBound = {
  settleMs: 3000,
  share: 2 / 3,
  slack: 10,
  ratio: 1 / 50,
};

/** Served and counted first tries, at cut VMs and at the others. */
export interface RecoveryShortfall {
  readonly cut: { readonly served: number; readonly tries: number };
  readonly others: { readonly served: number; readonly tries: number };
}

/** Counts the first tries during a cut; undefined if cut VMs serve often enough. */
export function findRecoveryShortfall(
  tries: readonly FirstTry[],
  cut: { from: number; until: number },
  bound: RecoveryBound = RECOVERY_BOUND,
): RecoveryShortfall | undefined {
  const counted = tries.filter(({ at }) =>
    at > cut.from + bound.settleMs && at < cut.until
  );
  const count = (isCut: boolean) => {
    const own = counted.filter((tried) => tried.isCut === isCut);
    const served = own.filter(({ isServed }) => isServed).length;
    return { served, tries: own.length };
  };
  const shortfall = { cut: count(true), others: count(false) };
  const failed = shortfall.cut.tries - shortfall.cut.served;
  const isSeldom = shortfall.cut.served * shortfall.others.tries <
    bound.share * shortfall.others.served * shortfall.cut.tries;
  const isMuch = failed > bound.slack + bound.ratio * counted.length;
  return isSeldom && isMuch ? shortfall : undefined;
}
