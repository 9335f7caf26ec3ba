/**
 * Tells whether this VM still reaches servers. A failed connection says as much of the path
 * as of the server, so this VM has lost its links only if none of several servers accepts a
 * connection while another VM connects to one of them.
 * @module
 */
import { probeAddress, ProbeResult } from "@bitternfall/connection";
import type { EventLog } from "@bitternfall/events";
import { type Clock, monotonicNow, sleep } from "@bitternfall/types";
import type { ServerEntry } from "./model.ts";

/** Id and address of a server. */
export type ProbedServer = Pick<ServerEntry, "id" | "host" | "port">;

/** Options of {@link ServerLinks}. */
export interface ServerLinksOptions {
  readonly log: EventLog;
  /** All servers that this VM knows. */
  readonly listServers: () => Iterable<ProbedServer>;
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
const PROBED_SERVERS = 4;
const PROBE_TIMEOUT_MS = 300;
/** Mean time between probes while no server is reached. */
const PROBE_INTERVAL_MS = 400;

/** The links of this VM to all servers. */
export class ServerLinks {
  readonly #options: ServerLinksOptions;
  readonly #now: Clock;
  #lastConnectedAt = -Infinity;
  #check: Promise<boolean> | undefined;
  #helpers: string[] = [];
  #isLost = false;

  constructor(options: ServerLinksOptions) {
    this.#options = options;
    this.#now = options.now ?? monotonicNow;
  }

  /** Whether this VM reaches no server, although others do. */
  get areLost(): boolean {
    return this.#isLost;
  }

  /** VMs that reached servers when they were last asked, in random order. */
  get helpers(): readonly string[] {
    return this.#helpers;
  }

  /** Records that a connection to a server was established. */
  onConnected(): void {
    this.#lastConnectedAt = this.#now();
  }

  /**
   * Finds out whether the links are lost after a connection to a server has failed that was
   * attempted at `since`. Resolves at once if another one was established meanwhile.
   */
  async checkAfterFailure(since: number): Promise<boolean> {
    if (this.#isLost) return true;
    if (this.#lastConnectedAt > since) return false;
    this.#check ??= this.#areLinksLost().finally(() => this.#check = undefined);
    return await this.#check;
  }

  async #areLinksLost(): Promise<boolean> {
    const startedAt = this.#now();
    const { log, signal, findHelpers } = this.#options;
    const servers = this.#pickServers();
    if (await this.#reachesAny(servers)) return false;
    const helpers = await findHelpers(servers.map(({ id }) => id));
    const isLost = helpers.length > 0 && this.#lastConnectedAt < startedAt &&
      !signal.aborted;
    if (!isLost) return false;
    this.#isLost = true;
    this.#helpers = helpers;
    log.emit("serverLinksLost", {
      probed: servers.length,
      helpers: helpers.join(","),
    });
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
      const helpers = await findHelpers(servers.map(({ id }) => id));
      if (helpers.length > 0) this.#helpers = helpers;
    }
    this.#isLost = false;
    this.#helpers = [];
    log.emit("serverLinksRestored", { ms: Math.round(this.#now() - lostAt) });
  }

  #pickServers(): ProbedServer[] {
    const { listServers, random = Math.random } = this.#options;
    return [...listServers()]
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

/** Whether one of the servers accepts a connection; resolves with the first that does. */
export async function reachesAny(
  servers: readonly ProbedServer[],
  probe: (server: ProbedServer) => Promise<boolean> = connects,
): Promise<boolean> {
  const probes = servers.map(async (server) => {
    if (!await probe(server)) throw new Error("no connection");
  });
  return await Promise.any(probes).then(() => true, () => false);
}

async function connects({ host, port }: ProbedServer): Promise<boolean> {
  const timeoutMs = PROBE_TIMEOUT_MS;
  return await probeAddress({ host, port, timeoutMs }) === ProbeResult.Accepts;
}
