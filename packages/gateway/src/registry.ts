/**
 * Keeps the directory of servers and the configuration as the object API has them.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { StoredObject } from "@bitternfall/platform";
import type { GatewayConfig, ServerEntry } from "./model.ts";
import type { ServerDirectory } from "./server_directory.ts";

/** Reads what operators and servers write; undefined where an object makes no sense. */
export interface RegistryDialect {
  /** Prefix of the servers' own entries. */
  readonly serverPrefix: string;
  /** Prefix below which the configuration stands. */
  readonly configPrefix: string;
  /** Name of the newest configuration below its prefix. */
  readonly configName: string;
  readServer(id: string, value: unknown): ServerEntry | undefined;
  readConfig(value: unknown): GatewayConfig | undefined;
}

/** Options of a {@link Registry}. */
export interface RegistryOptions {
  readonly dialect: RegistryDialect;
  readonly directory: ServerDirectory;
  readonly log: EventLog;
  readonly onConfig: (config: GatewayConfig) => void;
  readonly onServers: () => void;
}

/**
 * Entries that lapsed while the object API was away are back within two seconds of its
 * return; new work may go to them a little shorter than that.
 */
const LAPSE_GRACE_MS = 1700;
/** An outage shorter than this makes no entry lapse. */
const LAPSE_OUTAGE_MS = 1000;

/** Applies what was listed and watched. */
export class Registry {
  readonly #options: RegistryOptions;
  /** Removals that wait, by server. */
  readonly #lapsing = new Map<string, NodeJS.Timeout>();
  #version = -1;

  constructor(options: RegistryOptions) {
    this.#options = options;
  }

  onServerList(
    objects: readonly StoredObject[],
    { outageMs }: { outageMs: number },
  ): void {
    const { directory, dialect, onServers } = this.#options;
    const listed = new Set(
      objects.map(({ key }) => key.slice(dialect.serverPrefix.length)),
    );
    for (const id of [...directory.ids]) {
      if (listed.has(id)) continue;
      if (outageMs < LAPSE_OUTAGE_MS) this.#remove(id, "gone from the list");
      else this.#removeLater(id);
    }
    for (const object of objects) this.#setServer(object);
    onServers();
  }

  onServer(object: StoredObject): void {
    this.#setServer(object);
    this.#options.onServers();
  }

  onConfigs(objects: readonly StoredObject[]): void {
    for (const object of objects) this.onConfigObject(object);
  }

  onConfigObject({ key, version, value }: StoredObject): void {
    const { dialect, log, onConfig } = this.#options;
    if (key !== dialect.configPrefix + dialect.configName) return;
    if (value === null) return;
    const config = dialect.readConfig(value);
    if (config === undefined) {
      return log.emit("objectIgnored", { key, reason: "malformed", version });
    }
    if (config.version <= this.#version) return;
    this.#version = config.version;
    onConfig(config);
    log.emit("configApplied", {
      version: config.version,
      revision: version,
      routes: config.routes.length,
      services: config.services.size,
    });
  }

  #setServer({ key, version, value }: StoredObject): void {
    const { dialect, directory, log } = this.#options;
    const id = key.slice(dialect.serverPrefix.length);
    this.#keep(id);
    if (value === null) return this.#remove(id, "entry removed");
    const entry = dialect.readServer(id, value);
    if (entry === undefined) {
      log.emit("objectIgnored", { key, reason: "malformed", version });
      return this.#remove(id, "entry malformed");
    }
    const known = directory.find(id);
    directory.set(entry);
    const isSame = known !== undefined &&
      known.isDraining === entry.isDraining && known.role === entry.role &&
      known.bornAt === entry.bornAt;
    if (isSame) return;
    log.emit("serverChanged", {
      server: id,
      service: entry.service,
      state: entry.isDraining ? "draining" : "ready",
      role: entry.role,
      revision: version,
    });
  }

  #remove(id: string, reason: string): void {
    const { directory, log } = this.#options;
    if (!directory.remove(id)) return;
    log.emit("serverChanged", { server: id, state: "gone", reason });
  }

  #removeLater(id: string): void {
    if (this.#lapsing.has(id)) return;
    const timer = setTimeout(() => {
      this.#lapsing.delete(id);
      this.#remove(id, "entry did not come back");
      this.#options.onServers();
    }, LAPSE_GRACE_MS);
    this.#lapsing.set(id, timer);
  }

  #keep(id: string): void {
    clearTimeout(this.#lapsing.get(id));
    this.#lapsing.delete(id);
  }
}
