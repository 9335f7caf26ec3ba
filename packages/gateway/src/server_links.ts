/**
 * Tells whether this VM still reaches the servers of each service. A failed connection says
 * as much of the path as of the server, so this VM has lost its links to a service only if
 * none of several servers accepts a connection while another VM connects to one of them.
 * @module
 */
import { probeAddress, ProbeResult } from "@bitternfall/connection";
import type { EventLog } from "@bitternfall/events";
import {
  type Clock,
  drawSample,
  monotonicNow,
  sleep,
  withTimeout,
} from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";

/** Id and address of a server. */
export type ProbedServer = Pick<ServerEntry, "id" | "host" | "port">;

/** Options of {@link ServerLinks}. */
export interface ServerLinksOptions {
  readonly log: EventLog;
  /** The servers of a service that accept requests. */
  readonly listServers: (service: string) => readonly ProbedServer[];
  /**
   * Asks some other VMs; returns the ids of those that reach one of the servers, or undefined
   * if there are others and none has answered.
   */
  readonly findHelpers: (
    serverIds: readonly string[],
    options: { maxAsked: number },
  ) => Promise<string[] | undefined>;
  /** Number of VMs, this one included. */
  readonly getVmCount: () => number;
  readonly signal: AbortSignal;
  readonly probe?: (server: ProbedServer) => Promise<boolean>;
  readonly now?: Clock;
}

/** Servers to which connections are attempted before the others are asked. */
const PROBED_SERVERS = 6;
const PROBE_TIMEOUT_MS = 250;
/** Time after which another server is tried beside one that does not answer. */
const PROBE_STAGGER_MS = 20;
/** Shortest time between checks for the sake of requests. */
const MIN_CHECK_INTERVAL_MS = 400;
/** Longer than a check takes. */
const MAX_CHECK_MS = 2000;
/** VMs that are asked whether they reach servers which this one does not. */
const MAX_ASKED_VMS = 4;
/** The same where none of those reaches a server: they may be cut off too. */
const MAX_ASKED_VMS_IN_DOUBT = 12;
/** Shortest time between two questions to that many VMs. */
const MIN_DOUBT_INTERVAL_MS = 3000;
/** Mean time between probes while no server is reached. */
const PROBE_INTERVAL_MS = 400;

/** Times of the call whose failure is examined, on the gateway's clock. */
export interface CheckTimes {
  readonly since: number;
  readonly answerBy: number;
}

/** What is known of the links to a service. */
enum LinkState {
  /** A server is reached, or is reached by no other VM either. */
  Sound,
  /** Another VM reaches a server, and this one reaches none. */
  Lost,
  /** No server is reached, and no other VM has said whether it reaches one. */
  Unknown,
}

/** The links of this VM to the servers of each service. */
export class ServerLinks {
  readonly #options: ServerLinksOptions;
  readonly #links = new Map<string, ServiceLinks>();

  constructor(options: ServerLinksOptions) {
    this.#options = options;
  }

  /** Whether this VM reaches no server of a service, although others do. */
  areLost(service: string): boolean {
    return this.#links.get(service)?.areLost ?? false;
  }

  /** VMs that reached servers of a service when they were last asked, in random order. */
  getHelpers(service: string): readonly string[] {
    return this.#links.get(service)?.helpers ?? [];
  }

  /** Records that a server has answered. */
  onAnswered(service: string): void {
    this.#get(service).onAnswered();
  }

  /**
   * Finds out whether the links to a service are lost after a call has failed that began at
   * `since`. Resolves at once if a server has answered meanwhile, and at the time `answerBy`
   * at the latest, with false if it is not known by then.
   */
  checkAfterFailure(service: string, times: CheckTimes): Promise<boolean> {
    const check = this.#get(service).checkAfterFailure(times.since);
    return this.#withDeadline(check, times);
  }

  /**
   * Whether the failure of a call that began at `since` can't be due to this VM's links;
   * false if that is not known at the time `answerBy`.
   */
  areSound(service: string, times: CheckTimes): Promise<boolean> {
    const check = this.#get(service).areSound(times.since);
    return this.#withDeadline(check, times);
  }

  #withDeadline(
    check: Promise<boolean>,
    { answerBy }: CheckTimes,
  ): Promise<boolean> {
    const { now = monotonicNow } = this.#options;
    const ms = Math.max(0, Math.min(MAX_CHECK_MS, answerBy - now()));
    return withTimeout(check, { ms, fallback: false });
  }

  /** Examines the links to other services too, as a VM that is cut off loses all at once. */
  #checkOthers(service: string): void {
    const { now = monotonicNow } = this.#options;
    for (const [name, links] of this.#links) {
      if (name !== service) void links.checkAfterFailure(now());
    }
  }

  #get(service: string): ServiceLinks {
    let links = this.#links.get(service);
    if (links === undefined) {
      links = new ServiceLinks(service, {
        ...this.#options,
        onLost: () => this.#checkOthers(service),
      });
      this.#links.set(service, links);
    }
    return links;
  }
}

/** Options of {@link ServiceLinks}. */
interface ServiceLinksOptions extends ServerLinksOptions {
  /** Called when the links are lost, and from time to time while they are. */
  readonly onLost: () => void;
}

/** The links of this VM to the servers of one service. */
class ServiceLinks {
  readonly #service: string;
  readonly #options: ServiceLinksOptions;
  readonly #now: Clock;
  #lastAnsweredAt = -Infinity;
  /** Time of the last check, and what it found. */
  #checkedAt = -Infinity;
  #state = LinkState.Sound;
  #check: Promise<LinkState> | undefined;
  #helpers: string[] = [];
  /** Time at which the larger number of VMs was last asked. */
  #doubtedAt = -Infinity;

  constructor(service: string, options: ServiceLinksOptions) {
    this.#service = service;
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  get areLost(): boolean {
    return this.#state === LinkState.Lost;
  }

  get helpers(): readonly string[] {
    return this.#helpers;
  }

  onAnswered(): void {
    this.#lastAnsweredAt = this.#now();
  }

  async checkAfterFailure(since: number): Promise<boolean> {
    if (this.areLost) return true;
    const isChecked = this.#now() - this.#checkedAt < MIN_CHECK_INTERVAL_MS;
    if (isChecked || this.#lastAnsweredAt > since) return false;
    return await this.#examine() === LinkState.Lost;
  }

  async areSound(since: number): Promise<boolean> {
    if (this.areLost) return false;
    if (this.#lastAnsweredAt > since) return true;
    const state = this.#checkedAt > since ? this.#state : await this.#examine();
    return state === LinkState.Sound;
  }

  /** Examines the links, once for all failures at the same time. */
  #examine(): Promise<LinkState> {
    this.#check ??= this.#probeAndAsk().finally(() => this.#check = undefined);
    return this.#check;
  }

  async #probeAndAsk(): Promise<LinkState> {
    const startedAt = this.#now();
    const { signal } = this.#options;
    const servers = this.#pickServers();
    const isReached = await this.#reachesAny(servers);
    const helpers = isReached ? [] : await this.#askOthers(servers);
    const hasAnswered = this.#lastAnsweredAt >= startedAt || signal.aborted;
    this.#state = isReached || hasAnswered || helpers?.length === 0
      ? LinkState.Sound
      : helpers === undefined
      ? LinkState.Unknown
      : LinkState.Lost;
    this.#checkedAt = this.#now();
    if (this.#state === LinkState.Lost) this.#onLost(helpers ?? []);
    return this.#state;
  }

  /** Asks a few VMs which of them reach a server, and more if none of these does. */
  async #askOthers(
    servers: readonly ProbedServer[],
  ): Promise<string[] | undefined> {
    const { findHelpers, getVmCount } = this.#options;
    const ids = servers.map(({ id }) => id);
    const helpers = await findHelpers(ids, { maxAsked: MAX_ASKED_VMS });
    const others = getVmCount() - 1;
    const isDoubtful = helpers?.length === 0 && others > MAX_ASKED_VMS &&
      this.#now() - this.#doubtedAt >= MIN_DOUBT_INTERVAL_MS;
    if (!isDoubtful) return helpers;
    this.#doubtedAt = this.#now();
    return await findHelpers(ids, { maxAsked: MAX_ASKED_VMS_IN_DOUBT });
  }

  #onLost(helpers: string[]): void {
    this.#helpers = helpers;
    this.#options.log.emit("serverLinksLost", {
      service: this.#service,
      helpers: helpers.join(","),
    });
    this.#options.onLost();
    void this.#probeUntilBack();
  }

  /** Probes servers until one accepts a connection, and keeps the helpers fresh. */
  async #probeUntilBack(): Promise<void> {
    const { log, signal, findHelpers } = this.#options;
    const lostAt = this.#now();
    while (!signal.aborted) {
      await sleep(PROBE_INTERVAL_MS * (0.5 + Math.random()), signal);
      const servers = this.#pickServers();
      if (await this.#reachesAny(servers)) break;
      this.#options.onLost();
      const helpers = await findHelpers(
        servers.map(({ id }) => id),
        { maxAsked: MAX_ASKED_VMS },
      );
      if (helpers !== undefined && helpers.length > 0) this.#helpers = helpers;
    }
    this.#state = LinkState.Sound;
    this.#helpers = [];
    log.emit("serverLinksRestored", {
      service: this.#service,
      ms: Math.round(this.#now() - lostAt),
    });
  }

  #pickServers(): ProbedServer[] {
    const servers = this.#options.listServers(this.#service);
    return drawSample(servers, { count: PROBED_SERVERS });
  }

  async #reachesAny(servers: readonly ProbedServer[]): Promise<boolean> {
    const { probe = connects } = this.#options;
    return await reachesAny(servers, probe);
  }
}

/**
 * Whether one of the servers accepts a connection. Tries one after the other, or beside one
 * that does not answer.
 */
export async function reachesAny(
  servers: readonly ProbedServer[],
  probe: (server: ProbedServer) => Promise<boolean> = connects,
): Promise<boolean> {
  const results: Promise<boolean>[] = [];
  for (const server of servers) {
    const result = probe(server);
    results.push(result);
    const hasAccepted = await withTimeout(result, {
      ms: PROBE_STAGGER_MS,
      fallback: false,
    });
    if (hasAccepted) return true;
  }
  return (await Promise.all(results)).includes(true);
}

async function connects({ host, port }: ProbedServer): Promise<boolean> {
  const timeoutMs = PROBE_TIMEOUT_MS;
  return await probeAddress({ host, port, timeoutMs }) === ProbeResult.Accepts;
}
