/**
 * Placement policies. {@link JointPolicy} is the default; the others are baselines to
 * compare it with.
 * @module
 */
import type { DecodePool, DecodeServer } from "./decode_pool.ts";
import {
  type AcquireRequest,
  NO_PREFILL,
  type Placement,
  type PlacementChoice,
} from "./model.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { PrefillPool, PrefillServer } from "./prefill_pool.ts";
import { isUsable } from "./server_health.ts";

/** Names of the placement policies. */
export enum PolicyName {
  Joint = "joint",
  Random = "random",
  RoundRobin = "round-robin",
  LeastLoadedByReport = "least-loaded-by-report",
}

/** State that a policy bases its choice on. */
export interface PolicyView {
  readonly prefills: PrefillPool;
  readonly decodes: DecodePool;
  readonly prefixes: PrefixIndex;
  readonly now: number;
  /** Share of the predicted slot releases that may be granted in advance. */
  readonly overbookingShare: number;
  /** Whether decode servers can prefill prompts themselves. */
  readonly canPrefillOnDecode: boolean;
  /** Whether the request may use the memory that is kept free for runs that grow. */
  readonly mayUseReserve?: boolean;
}

/** Chooses a prefill and a decode server for a request. */
export interface PlacementPolicy {
  /** Whether requests are queued and refused by predicted delay; otherwise all are granted. */
  readonly hasAdmissionControl: boolean;
  choose(req: AcquireRequest, view: PolicyView): PlacementChoice;
}

/** Work granted ahead of time to a prefill server so that it does not idle between requests. */
const PREFILL_LOOKAHEAD_MS = 40;
/** Cost of a prefill to later requests on its server, relative to its own delay. */
const PREFILL_LOAD_WEIGHT = 0.5;
/**
 * Time that a slower prefill server has to leave until the deadline, for the transfer's
 * waits and the error of the prediction.
 */
const PREFILL_MARGIN_MS = 100;
/** Cost of a prefill server in another availability zone than the request. */
const CROSS_ZONE_PENALTY_MS = 2;
/** Time until placement is tried again where no decode server has capacity. */
const RECHECK_MS = 25;
/** Delay that a failed prefill costs its request: another wait and another prefill. */
const FAILED_PREFILL_PENALTY_MS = 400;
/** Free capacity outweighs the zone (0.5) once it differs by more than 1/40. */
const FREE_CAPACITY_WEIGHT = 20;

/**
 * Smallest free share of a decode server that prefills a prompt itself. On a fuller server,
 * the delay of its other runs would cost more places than the prefill servers save time.
 */
const MIN_FREE_SHARE_TO_PREFILL = 0.2;

/** A prefill server that could be chosen, with the predicted times there. */
interface PrefillChoice {
  readonly server: PrefillServer;
  readonly uncachedTokens: number;
  readonly startAt: number;
  readonly endAt: number;
  /** Delays and risks of the server that do not depend on its rate. */
  readonly penaltyMs: number;
}

/** Inputs to the choice of a decode server. */
interface DecodeCriteria {
  readonly view: PolicyView;
  /** When the KV cache of the prompt would arrive, if a prefill server prefills it. */
  readonly arrivalAt?: number;
  /** Server that the KV cache comes from. */
  readonly prefill?: PrefillServer | undefined;
  /**
   * Time before which a decode server has to prefill the prompt, beside its runs; only
   * servers that prefill no other prompt can be chosen then.
   */
  readonly prefillBefore?: number | undefined;
}

/** Chooses prefill server, link and decode server jointly for the earliest first output. */
export class JointPolicy implements PlacementPolicy {
  readonly hasAdmissionControl = true;

  choose(req: AcquireRequest, view: PolicyView): PlacementChoice {
    if (req.prefilledBy !== undefined) {
      return this.#placePrefilled(req, view, req.prefilledBy);
    }
    const prefill = this.#choosePrefill(req, view);
    if (prefill === undefined) return this.#placeWithoutPrefill(req, view);
    const { server, uncachedTokens, endAt, startAt } = prefill;
    const { now, prefills } = view;
    const tokens = req.promptTokens + req.outputTokens;
    const arrivalAt = Math.max(endAt, server.linkBusyUntil) +
      prefills.getTransferMs(tokens);
    if (startAt - now > PREFILL_LOOKAHEAD_MS) {
      return this.#placeOverflow(req, view, arrivalAt) ?? {
        kind: "wait",
        until: startAt - PREFILL_LOOKAHEAD_MS,
        maySmallerFit: view.canPrefillOnDecode,
      };
    }
    return this.#placeOnDecode(req, {
      view,
      prefill: server,
      arrivalAt,
      stage: { prefill: server.id, uncachedTokens, prefillEndAt: endAt },
    });
  }

  /** Places a request that has already been prefilled. */
  #placePrefilled(
    req: AcquireRequest,
    view: PolicyView,
    prefilledBy: string,
  ): PlacementChoice {
    const { now, prefills } = view;
    const tokens = req.promptTokens + req.outputTokens;
    const prefill = prefills.servers.get(prefilledBy);
    const arrivalAt = Math.max(now, prefill?.linkBusyUntil ?? now) +
      prefills.getTransferMs(tokens);
    return this.#placeOnDecode(req, {
      view,
      prefill,
      arrivalAt,
      stage: { prefill: prefilledBy, uncachedTokens: 0, prefillEndAt: now },
    });
  }

  /** Places a request on a decode server that prefills the prompt itself. */
  #placeWithoutPrefill(req: AcquireRequest, view: PolicyView): PlacementChoice {
    const { now, canPrefillOnDecode } = view;
    if (!canPrefillOnDecode) return { kind: "none" };
    return this.#placeOnDecode(req, {
      view,
      stage: { prefill: NO_PREFILL, uncachedTokens: 0, prefillEndAt: now },
    });
  }

  /**
   * While the prefill servers have a backlog, places a request on a decode server that
   * prefills the prompt itself and so has its first output earlier than `arrivalAt`.
   */
  #placeOverflow(
    req: AcquireRequest,
    view: PolicyView,
    arrivalAt: number,
  ): PlacementChoice | undefined {
    const { now, decodes, prefills, canPrefillOnDecode } = view;
    if (!canPrefillOnDecode) return undefined;
    const shortestMs = prefills.getPrefillOnDecodeMs(
      req.promptTokens + req.outputTokens,
      decodes.fastestSpeed,
    );
    if (now + shortestMs >= arrivalAt) return undefined;
    const choice = this.#placeOnDecode(req, {
      view,
      stage: { prefill: NO_PREFILL, uncachedTokens: 0, prefillEndAt: now },
      prefillBefore: arrivalAt,
    });
    return choice.kind === "place" ? choice : undefined;
  }

  /** Completes a placement by choosing the decode server. */
  #placeOnDecode(
    req: AcquireRequest,
    options: DecodeCriteria & {
      stage: Pick<Placement, "prefill" | "uncachedTokens" | "prefillEndAt">;
    },
  ): PlacementChoice {
    const { view, stage } = options;
    const { now, decodes } = view;
    const decode = this.#chooseDecode(req, options);
    if (decode === "none") return { kind: "none" };
    if (decode === undefined) {
      return {
        kind: "wait",
        until: now + RECHECK_MS,
        maySmallerFit: true,
      };
    }
    const { arrivalAt = getOwnArrivalAt(req, { view, server: decode }) } =
      options;
    const firstOutputAt = arrivalAt + decodes.getIntervalMs(decode);
    return {
      kind: "place",
      placement: { ...stage, decode: decode.id, firstOutputAt },
    };
  }

  /**
   * Chooses the prefill server with the lowest cost; undefined if none takes work. If that
   * server has a queue, chooses a slower one that can start now and is in time.
   */
  #choosePrefill(
    req: AcquireRequest,
    view: PolicyView,
  ): PrefillChoice | undefined {
    const { prefills, prefixes, now } = view;
    const cached = prefixes.match(req.hashes);
    const tokens = req.promptTokens + req.outputTokens;
    let best: PrefillChoice | undefined;
    let lowestCost = Infinity;
    let ready: PrefillChoice | undefined;
    let lowestReadyCost = Infinity;
    for (const server of prefills.servers.values()) {
      if (!isUsable(server, now) || req.avoid.includes(server.id)) continue;
      const uncachedTokens = Math.max(1, tokens - (cached.get(server.id) ?? 0));
      const startAt = Math.max(now, server.busyUntil);
      const prefillMs = prefills.getPrefillMs(server, uncachedTokens);
      const linkWaitMs = Math.max(
        0,
        server.linkBusyUntil - startAt - prefillMs,
      );
      const zonePenaltyMs = server.availabilityZone === req.availabilityZone
        ? 0
        : CROSS_ZONE_PENALTY_MS;
      const penaltyMs = linkWaitMs + zonePenaltyMs +
        FAILED_PREFILL_PENALTY_MS * server.failureShare;
      const cost = startAt + prefillMs * (1 + PREFILL_LOAD_WEIGHT) + penaltyMs;
      const isReady = startAt - now <= PREFILL_LOOKAHEAD_MS;
      if (cost >= (isReady ? lowestReadyCost : lowestCost)) continue;
      const endAt = startAt + prefillMs;
      const choice = { server, uncachedTokens, startAt, endAt, penaltyMs };
      if (isReady) {
        lowestReadyCost = cost;
        ready = choice;
      }
      if (cost >= lowestCost) continue;
      lowestCost = cost;
      best = choice;
    }
    if (best === undefined || ready === undefined) return best;
    if (ready.server.speed >= best.server.speed) return best;
    // Waiting pays for a cached prefix, a link or a server without failures, but not for
    // speed alone: the slower server would be idle while callers wait.
    const sameRateMs = prefills.getPrefillMs(best.server, ready.uncachedTokens);
    const isSlowerOnly = ready.startAt +
        sameRateMs * (1 + PREFILL_LOAD_WEIGHT) + ready.penaltyMs < lowestCost;
    const latestEndAt = req.deadline - PREFILL_MARGIN_MS -
      prefills.getTransferMs(tokens) -
      view.decodes.intervalMs;
    return isSlowerOnly && ready.endAt <= latestEndAt ? ready : best;
  }

  /**
   * Chooses the decode server with the highest score; undefined if none has capacity,
   * "none" if none takes work.
   */
  #chooseDecode(
    req: AcquireRequest,
    options: DecodeCriteria,
  ): DecodeServer | "none" | undefined {
    const { view, prefill, prefillBefore } = options;
    const { decodes, now, overbookingShare, mayUseReserve = false } = view;
    let best: DecodeServer | undefined;
    let bestScore = -Infinity;
    let hasUsable = false;
    for (const server of decodes.servers.values()) {
      if (!isUsable(server, now)) continue;
      // A request that avoids all servers keeps no other from them.
      hasUsable = true;
      if (req.avoid.includes(server.id)) continue;
      if (!hasRequiredVersion(server, req)) continue;
      const { arrivalAt = getOwnArrivalAt(req, { view, server }) } = options;
      if (prefillBefore !== undefined) {
        if (arrivalAt >= prefillBefore) continue;
        if (!decodes.canPrefill(server, now)) continue;
        if (!decodes.isWithinTargetBeside(server, arrivalAt - now)) continue;
      }
      const freeSlots = decodes.predictFreeSlots(server, {
        now,
        at: arrivalAt,
        share: overbookingShare,
      });
      const heldTokens = req.heldTokens ?? 0;
      const { promptTokens } = req;
      if (freeSlots <= 0) continue;
      const run = { promptTokens, heldTokens, now, mayUseReserve };
      if (!decodes.canHold(server, run)) continue;
      const zoneScore = server.availabilityZone === prefill?.availabilityZone
        ? 0.5
        : 0;
      const freeShare = Math.min(
        freeSlots / server.limit,
        1 - decodes.getMemoryShare(server, heldTokens),
      );
      if (
        prefillBefore !== undefined && freeShare < MIN_FREE_SHARE_TO_PREFILL
      ) continue;
      // Runs in proportion to speed; a server over its share still takes what fits nowhere
      // else, so that no server is empty while callers wait.
      const loadShare = server.speed === 1
        ? freeShare
        : 1 - (1 - freeShare) / server.speed;
      const score = FREE_CAPACITY_WEIGHT * (loadShare - server.failureShare) +
        zoneScore;
      if (score <= bestScore) continue;
      bestScore = score;
      best = server;
    }
    return hasUsable ? best : "none";
  }
}

/** When a decode server would have prefilled a request's prompt itself. */
function getOwnArrivalAt(
  req: AcquireRequest,
  { view, server }: { view: PolicyView; server: DecodeServer },
): number {
  const tokens = req.promptTokens + req.outputTokens;
  return view.now + view.prefills.getPrefillOnDecodeMs(tokens, server.speed);
}

/** Whether a decode server may write the request's stream. */
export function hasRequiredVersion(
  server: Pick<DecodeServer, "softwareVersion">,
  { softwareVersion }: AcquireRequest,
): boolean {
  return softwareVersion === undefined ||
    server.softwareVersion === softwareVersion;
}

/** Chooses servers at random. */
export class RandomPolicy implements PlacementPolicy {
  readonly hasAdmissionControl = false;
  readonly #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  choose(req: AcquireRequest, view: PolicyView): PlacementChoice {
    return placeWithPicker(req, {
      view,
      pick: (servers) => servers[Math.floor(this.#random() * servers.length)],
    });
  }
}

/** Chooses servers in rotation. */
export class RoundRobinPolicy implements PlacementPolicy {
  readonly hasAdmissionControl = false;
  #turn = 0;

  choose(req: AcquireRequest, view: PolicyView): PlacementChoice {
    this.#turn++;
    return placeWithPicker(req, {
      view,
      pick: (servers) => servers[this.#turn % servers.length],
    });
  }
}

/** Chooses the servers with the fewest requests in their last load report. */
export class LeastLoadedPolicy implements PlacementPolicy {
  readonly hasAdmissionControl = false;
  readonly #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  choose(req: AcquireRequest, view: PolicyView): PlacementChoice {
    return placeWithPicker(req, {
      view,
      pick: (servers) => this.#pick(servers),
    });
  }

  #pick<S extends ReportingServer>(servers: readonly S[]): S | undefined {
    let best: S | undefined;
    let bestLoad = Infinity;
    const start = Math.floor(this.#random() * servers.length);
    for (let i = 0; i < servers.length; i++) {
      const server = servers[(start + i) % servers.length]!;
      const load = (server.reported?.running ?? 0) +
        (server.reported?.waiting ?? 0);
      if (load >= bestLoad) continue;
      best = server;
      bestLoad = load;
    }
    return best;
  }
}

/** Creates the policy with the given name. */
export function createPolicy(
  name: PolicyName,
  random: () => number,
): PlacementPolicy {
  if (name === PolicyName.Random) return new RandomPolicy(random);
  if (name === PolicyName.RoundRobin) return new RoundRobinPolicy();
  if (name === PolicyName.LeastLoadedByReport) {
    return new LeastLoadedPolicy(random);
  }
  return new JointPolicy();
}

/** Fields of prefill and decode servers that the baselines use. */
interface ReportingServer {
  readonly id: string;
  readonly isLeaving: boolean;
  readonly avoidUntil: number;
  readonly limitedUntil: number;
  readonly reported: { running: number; waiting: number } | undefined;
}

/** Picks one usable server of each pool, regardless of load and deadline. */
function placeWithPicker(
  req: AcquireRequest,
  options: {
    view: PolicyView;
    pick: <S extends ReportingServer>(servers: readonly S[]) => S | undefined;
  },
): PlacementChoice {
  const { view, pick } = options;
  const listUsable = <S extends ReportingServer>(servers: Iterable<S>) =>
    [...servers].filter((server) =>
      isUsable(server, view.now) && !req.avoid.includes(server.id)
    );
  const prefill = pick(listUsable(view.prefills.servers.values()));
  const decode = pick(listUsable(view.decodes.servers.values()));
  if (prefill === undefined || decode === undefined) return { kind: "none" };
  const uncachedTokens = req.promptTokens + req.outputTokens;
  const placement = {
    prefill: prefill.id,
    decode: decode.id,
    uncachedTokens,
    prefillEndAt: view.now,
    firstOutputAt: view.now,
  };
  return { kind: "place", placement };
}
