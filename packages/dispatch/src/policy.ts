/**
 * How servers are chosen. {@link JointPolicy} is the router's own; the others are
 * baselines that it is measured against.
 * @module
 */
import type { DecodePool, DecodeServer } from "./decode_pool.ts";
import {
  type AcquireRequest,
  type Choice,
  NO_PREFILL,
  type Placement,
} from "./model.ts";
import type { PrefixIndex } from "./prefix_index.ts";
import type { PrefillPool, PrefillServer } from "./prefill_pool.ts";
import { isUsable } from "./server_health.ts";

/** Names of the policies. */
export enum PolicyName {
  Joint = "joint",
  Random = "random",
  RoundRobin = "round-robin",
  LeastLoadedByReport = "least-loaded-by-report",
}

/** What a policy may look at. */
export interface PolicyView {
  readonly prefills: PrefillPool;
  readonly decodes: DecodePool;
  readonly prefixes: PrefixIndex;
  readonly now: number;
  /** Share of the predicted releases that may be counted on. */
  readonly overbook: number;
  /** Whether decode servers can read prompts themselves. */
  readonly canDecodeUnread: boolean;
}

/** Chooses servers for a request. */
export interface PlacementPolicy {
  /** Whether requests wait and are refused by predicted delay; otherwise all go at once. */
  readonly admits: boolean;
  choose(req: AcquireRequest, view: PolicyView): Choice;
}

/** Work granted ahead to a prefill server so that it never idles between requests. */
const PREFILL_AHEAD_MS = 40;
/** What a prefilled token costs others, relative to its own delay. */
const UNCACHED_COST = 0.5;
const OTHER_ZONE_MS = 2;
const RECHECK_MS = 25;
/** What a failed prefill costs its request: another wait and another prefill. */
const FAULT_MS = 400;
/** Room counts more than the zone as soon as it differs by a fortieth. */
const ROOM_SCORE = 20;

/** What the choice of a decode server depends on. */
interface DecodeChoice {
  readonly view: PolicyView;
  /** When the prompt's result would be there. */
  readonly arrivalAt: number;
  /** Server that the result comes from. */
  readonly prefill?: PrefillServer | undefined;
}

/** Chooses prefill server, link and decode server together by the earliest first output. */
export class JointPolicy implements PlacementPolicy {
  readonly admits = true;

  choose(req: AcquireRequest, view: PolicyView): Choice {
    if (req.prefilledBy !== undefined) {
      return this.#placePrefilled(req, view, req.prefilledBy);
    }
    const prefill = this.#choosePrefill(req, view);
    if (prefill === undefined) return this.#placeUnread(req, view);
    const { server, uncachedTokens, endAt, startAt } = prefill;
    const { now, prefills } = view;
    if (startAt - now > PREFILL_AHEAD_MS) {
      return { kind: "wait", until: startAt - PREFILL_AHEAD_MS };
    }
    const tokens = req.promptTokens + req.outputTokens;
    const arrivalAt = Math.max(endAt, server.linkBusyUntil) +
      prefills.getTransferMs(tokens);
    return this.#place(req, {
      view,
      prefill: server,
      arrivalAt,
      stage: { prefill: server.id, uncachedTokens, prefillEndAt: endAt },
    });
  }

  /** Places a run whose prompt has been read. */
  #placePrefilled(
    req: AcquireRequest,
    view: PolicyView,
    prefilledBy: string,
  ): Choice {
    const { now, prefills } = view;
    const tokens = req.promptTokens + req.outputTokens;
    const prefill = prefills.servers.get(prefilledBy);
    const arrivalAt = Math.max(now, prefill?.linkBusyUntil ?? now) +
      prefills.getTransferMs(tokens);
    return this.#place(req, {
      view,
      prefill,
      arrivalAt,
      stage: { prefill: prefilledBy, uncachedTokens: 0, prefillEndAt: now },
    });
  }

  /** Places a run at a decode server that reads the prompt itself. */
  #placeUnread(req: AcquireRequest, view: PolicyView): Choice {
    const { now, prefills, canDecodeUnread } = view;
    if (!canDecodeUnread) return { kind: "none" };
    const tokens = req.promptTokens + req.outputTokens;
    return this.#place(req, {
      view,
      arrivalAt: now + prefills.getUnreadMs(tokens),
      stage: { prefill: NO_PREFILL, uncachedTokens: 0, prefillEndAt: now },
    });
  }

  /** Adds a decode server to what is known of the prefill. */
  #place(
    req: AcquireRequest,
    options: DecodeChoice & {
      stage: Pick<Placement, "prefill" | "uncachedTokens" | "prefillEndAt">;
    },
  ): Choice {
    const { view, arrivalAt, stage } = options;
    const { now, decodes } = view;
    const decode = this.#chooseDecode(req, options);
    if (decode === "none") return { kind: "none" };
    if (decode === undefined) {
      return { kind: "wait", until: now + RECHECK_MS, maySmallerFit: true };
    }
    const firstOutputAt = arrivalAt + decodes.intervalMs;
    return {
      kind: "place",
      placement: { ...stage, decode: decode.id, firstOutputAt },
    };
  }

  #choosePrefill(
    req: AcquireRequest,
    view: PolicyView,
  ): {
    server: PrefillServer;
    uncachedTokens: number;
    startAt: number;
    endAt: number;
  } | undefined {
    const { prefills, prefixes, now } = view;
    const cached = prefixes.match(req.hashes);
    const tokens = req.promptTokens + req.outputTokens;
    let best: {
      server: PrefillServer;
      uncachedTokens: number;
      startAt: number;
      endAt: number;
    } | undefined;
    let bestCost = Infinity;
    for (const server of prefills.servers.values()) {
      if (!isUsable(server, now) || req.avoid.includes(server.id)) continue;
      const uncachedTokens = Math.max(1, tokens - (cached.get(server.id) ?? 0));
      const startAt = Math.max(now, server.busyUntil);
      const prefillMs = prefills.getPrefillMs(server, uncachedTokens);
      const linkWait = Math.max(0, server.linkBusyUntil - startAt - prefillMs);
      const zoneMs = server.availabilityZone === req.availabilityZone
        ? 0
        : OTHER_ZONE_MS;
      const cost = startAt + prefillMs * (1 + UNCACHED_COST) + linkWait +
        zoneMs + FAULT_MS * server.faultShare;
      if (cost >= bestCost) continue;
      bestCost = cost;
      best = { server, uncachedTokens, startAt, endAt: startAt + prefillMs };
    }
    return best;
  }

  #chooseDecode(
    req: AcquireRequest,
    options: DecodeChoice,
  ): DecodeServer | "none" | undefined {
    const { view, arrivalAt, prefill } = options;
    const { decodes, now, overbook } = view;
    let best: DecodeServer | undefined;
    let bestScore = -Infinity;
    let usable = false;
    for (const server of decodes.servers.values()) {
      if (!isUsable(server, now) || req.avoid.includes(server.id)) continue;
      usable = true;
      const free = decodes.getFreeAt(server, {
        now,
        at: arrivalAt,
        share: overbook,
      });
      const heldTokens = req.heldTokens ?? 0;
      const { promptTokens } = req;
      if (free <= 0) continue;
      if (!decodes.hasRoom(server, { promptTokens, heldTokens, now })) continue;
      const sameZone = server.availabilityZone === prefill?.availabilityZone
        ? 0.5
        : 0;
      const room = Math.min(
        free / server.limit,
        1 - decodes.getMemoryShare(server, heldTokens),
      );
      const score = ROOM_SCORE * (room - server.faultShare) + sameZone;
      if (score <= bestScore) continue;
      bestScore = score;
      best = server;
    }
    return usable ? best : "none";
  }
}

/** Any two servers that take work. */
export class RandomPolicy implements PlacementPolicy {
  readonly admits = false;
  readonly #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  choose(req: AcquireRequest, view: PolicyView): Choice {
    return place(req, {
      view,
      pick: (servers) => servers[Math.floor(this.#random() * servers.length)],
    });
  }
}

/** Servers in turn. */
export class RoundRobinPolicy implements PlacementPolicy {
  readonly admits = false;
  #turn = 0;

  choose(req: AcquireRequest, view: PolicyView): Choice {
    this.#turn++;
    return place(req, {
      view,
      pick: (servers) => servers[this.#turn % servers.length],
    });
  }
}

/** The servers whose last report counts the fewest requests. */
export class LeastLoadedPolicy implements PlacementPolicy {
  readonly admits = false;
  readonly #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  choose(req: AcquireRequest, view: PolicyView): Choice {
    return place(req, { view, pick: (servers) => this.#pick(servers) });
  }

  #pick<S extends Reported>(servers: readonly S[]): S | undefined {
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

/** Creates the policy of a name. */
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

interface Reported {
  readonly id: string;
  readonly leaving: boolean;
  readonly avoidUntil: number;
  readonly reported: { running: number; waiting: number } | undefined;
}

function place(
  req: AcquireRequest,
  options: {
    view: PolicyView;
    pick: <S extends Reported>(servers: readonly S[]) => S | undefined;
  },
): Choice {
  const { view, pick } = options;
  const usable = <S extends Reported>(servers: Iterable<S>) =>
    [...servers].filter((server) =>
      isUsable(server, view.now) && !req.avoid.includes(server.id)
    );
  const prefill = pick(usable(view.prefills.servers.values()));
  const decode = pick(usable(view.decodes.servers.values()));
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
