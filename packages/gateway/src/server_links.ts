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
  /** Asks some other VMs; returns the ids of those that reach one of the servers. */
  readonly findHelpers: (
    serverIds: readonly string[],
  ) => Promise<string[]>;
  readonly signal: AbortSignal;
  readonly probe?: (server: ProbedServer) => Promise<boolean>;
  readonly random?: () => number;
  readonly now?: Clock;
}

/** Servers to which connections are attempted before the others are asked. */
const PROBED_SERVERS = 6;
const PROBE_TIMEOUT_MS = 250;
/** Time after which another server is tried beside one that does not answer. */
const PROBE_STAGGER_MS = 20;
/** Shortest time from a check by which the links are not lost to the next one. */
const MIN_CHECK_INTERVAL_MS = 400;
/** Longer than a check takes. */
const MAX_CHECK_MS = 2000;
/** Mean time between probes while no server is reached. */
const PROBE_INTERVAL_MS = 400;

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
   * `since`. Resolves at once if a server has answered meanwhile, and at the time `answerBy` at the latest, with false if it is not known by then.
   */
  checkAfterFailure(
    service: string,
    { since, answerBy }: { since: number; answerBy: number },
  ): Promise<boolean> {
    const { now = monotonicNow } = this.#options;
    const ms = Math.max(0, Math.min(MAX_CHECK_MS, answerBy - now()));
    return withTimeout(this.#get(service).checkAfterFailure(since), {
      ms,
      fallback: false,
    });
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
  /** Time of the last check by which the links are not lost. */
  #checkedAt = -Infinity;
  #check: Promise<boolean> | undefined;
  #helpers: string[] = [];
  #isLost = false;

  constructor(service: string, options: ServiceLinksOptions) {
    this.#service = service;
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  get areLost(): boolean {
    return this.#isLost;
  }

  get helpers(): readonly string[] {
    return this.#helpers;
  }

  onAnswered(): void {
    this.#lastAnsweredAt = this.#now();
  }

  async checkAfterFailure(since: number): Promise<boolean> {
    if (this.#isLost) return true;
    const isChecked = this.#now() - this.#checkedAt < MIN_CHECK_INTERVAL_MS;
    if (isChecked || this.#lastAnsweredAt > since) return false;
    this.#check ??= this.#areLinksLost().finally(() => this.#check = undefined);
    return await this.#check;
  }

  async #areLinksLost(): Promise<boolean> {
    const startedAt = this.#now();
    const { log, signal, findHelpers } = this.#options;
    const servers = this.#pickServers();
    const helpers = await this.#reachesAny(servers)
      ? []
      : await findHelpers(servers.map(({ id }) => id));
    const isLost = helpers.length > 0 && this.#lastAnsweredAt < startedAt &&
      !signal.aborted;
    if (!isLost) {
      this.#checkedAt = this.#now();
      return false;
    }
    this.#isLost = true;
    this.#helpers = helpers;
    log.emit("serverLinksLost", {
      service: this.#service,
      probed: servers.length,
      helpers: helpers.join(","),
    });
    this.#options.onLost();
    void this.#probeUntilBack();
    return true;
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
      const helpers = await findHelpers(servers.map(({ id }) => id));
      if (helpers.length > 0) this.#helpers = helpers;
    }
    this.#isLost = false;
    this.#helpers = [];
    log.emit("serverLinksRestored", {
      service: this.#service,
      ms: Math.round(this.#now() - lostAt),
    });
  }

  #pickServers(): ProbedServer[] {
    const { listServers, random = Math.random } = this.#options;
    return listServers(this.#service)
      .map((server) => ({ server, rank: random() }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, PROBED_SERVERS)
      .map(({ server }) => server);
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
