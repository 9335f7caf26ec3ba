/**
 * Applies servers' entries and configurations, as read from the object API.
 * @module
 */
import type { EventLog } from "@bitternfall/events";
import type { StoredObject } from "@bitternfall/platform";
import { MAX_NAME_LENGTH } from "@bitternfall/types";
import type { ConfigIssue, IssueReporter } from "./config_issue.ts";
import type { GatewayConfig, ServerEntry } from "./model.ts";
import type { ServerDirectory } from "./server_directory.ts";

/** Parses the objects of operators and servers; returns undefined if one is malformed. */
export interface RegistryDialect {
  /** Key prefix of servers' entries. */
  readonly serverPrefix: string;
  /** Key prefix of the configuration. */
  readonly configPrefix: string;
  /** Key of the current configuration, without the prefix. */
  readonly configName: string;
  readServer(id: string, value: unknown): ServerEntry | undefined;
  /** Returns the fields of a server's entry that are read; undefined if it is malformed. */
  reduceServer(value: unknown): unknown;
  /**
   * Reads what can be used of a configuration and reports the rest; undefined if it has no
   * routes or services at all.
   */
  readConfig(value: unknown, report?: IssueReporter): GatewayConfig | undefined;
}

/** A configuration can have an error at each of thousands of entries. */
const MAX_LOGGED_ISSUES = 5;

/** Options of a {@link Registry}. */
export interface RegistryOptions {
  readonly dialect: RegistryDialect;
  readonly directory: ServerDirectory;
  readonly log: EventLog;
  readonly onConfig: (config: GatewayConfig) => void;
  readonly onServers: () => void;
}

/**
 * Servers whose entries expired during an outage of the object API register again within
 * two seconds of its end. They are kept for a little less than that.
 */
const REAPPEARANCE_GRACE_MS = 1700;
/** In an outage shorter than this no entry expires. */
const MIN_OUTAGE_MS = 1000;

/** Applies listed and watched objects to the directory and the configuration. */
export class Registry {
  readonly #options: RegistryOptions;
  /** Timers of delayed removals, by server. */
  readonly #pendingRemovals = new Map<string, NodeJS.Timeout>();
  /** Version and revision of the configuration in force. */
  #applied = { version: -Infinity, revision: 0 };

  constructor(options: RegistryOptions) {
    this.#options = options;
  }

  /** Reduces a server's object to the fields that are read. */
  reduceServer(object: StoredObject): StoredObject {
    if (object.value === null) return object;
    const value = this.#options.dialect.reduceServer(object.value) ?? {};
    return { ...object, value };
  }

  /** Keeps no configuration but the current one. */
  reduceConfig(object: StoredObject): StoredObject {
    const { configPrefix, configName } = this.#options.dialect;
    const isUsed = object.value === null ||
      object.key === configPrefix + configName;
    return isUsed ? object : { ...object, value: {} };
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
      if (outageMs < MIN_OUTAGE_MS) this.#remove(id, "gone from the list");
      else this.#scheduleRemoval(id);
    }
    for (const object of objects) this.#setServer(object);
    onServers();
  }

  onServer(object: StoredObject): void {
    this.#setServer(object);
    this.#options.onServers();
  }

  onConfigList(objects: readonly StoredObject[]): void {
    for (const object of objects) this.onConfigObject(object);
  }

  onConfigObject({ key, version, value }: StoredObject): void {
    const { dialect, log, onConfig } = this.#options;
    if (key !== dialect.configPrefix + dialect.configName) return;
    if (value === null) return;
    const issues: ConfigIssue[] = [];
    const config = dialect.readConfig(value, (issue) => issues.push(issue));
    const issueFields = {
      issues: issues.slice(0, MAX_LOGGED_ISSUES)
        .map(({ place, reason }) => `${place}: ${reason}`),
      issueCount: issues.length,
    };
    if (config === undefined) {
      const reason = "malformed";
      return log.emit("objectIgnored", {
        key,
        reason,
        ...issueFields,
        version,
      });
    }
    const applied = this.#applied;
    const configVersion = config.version ?? applied.version;
    // Numbers that are too large to tell apart are in the order of the object's versions.
    const isNewer = configVersion > applied.version ||
      (configVersion === applied.version && version > applied.revision);
    if (!isNewer) return;
    this.#applied = { version: configVersion, revision: version };
    onConfig(config);
    log.gauge("config_issues", issues.length);
    if (issues.length > 0) {
      log.emit("configPartsIgnored", {
        version: config.version,
        ...issueFields,
        revision: version,
      });
    }
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
    this.#cancelRemoval(id);
    if (value === null) return this.#remove(id, "entry removed");
    const entry = dialect.readServer(id, value);
    if (entry === undefined || id.length > MAX_NAME_LENGTH) {
      log.emit("objectIgnored", { key, reason: "malformed", version });
      return this.#remove(id, "entry malformed");
    }
    const known = directory.find(id);
    directory.set(entry);
    const isSame = known !== undefined &&
      known.isDraining === entry.isDraining && known.role === entry.role &&
      known.bornAt === entry.bornAt &&
      known.softwareVersion === entry.softwareVersion;
    if (isSame) return;
    log.emit("serverChanged", {
      server: id,
      service: entry.service,
      state: entry.isDraining ? "draining" : "ready",
      role: entry.role,
      softwareVersion: entry.softwareVersion,
      revision: version,
    });
  }

  #remove(id: string, reason: string): void {
    const { directory, log } = this.#options;
    if (!directory.remove(id)) return;
    log.emit("serverChanged", { server: id, state: "gone", reason });
  }

  #scheduleRemoval(id: string): void {
    if (this.#pendingRemovals.has(id)) return;
    const timer = setTimeout(() => {
      this.#pendingRemovals.delete(id);
      this.#remove(id, "entry did not come back");
      this.#options.onServers();
    }, REAPPEARANCE_GRACE_MS);
    this.#pendingRemovals.set(id, timer);
  }

  #cancelRemoval(id: string): void {
    clearTimeout(this.#pendingRemovals.get(id));
    this.#pendingRemovals.delete(id);
  }
}
