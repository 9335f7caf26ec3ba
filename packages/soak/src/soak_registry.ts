/**
 * Writes the configuration and the servers' entries to the object API, in place of operators
 * and servers. Each write is retried until it is acknowledged.
 * @module
 */
import type { Workspace } from "@bitternfall/access";
import { ObjectStore, StoreError } from "@bitternfall/platform";
import type { PlatformStandIn } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { createConfig } from "./soak_config.ts";
import type { SoakServer } from "./soak_server.ts";
import { createWorkspaces } from "./soak_workspaces.ts";

/** A configuration version, and when its write began and was acknowledged. */
export interface ConfigChange {
  readonly version: number;
  readonly sentAt: number;
  ackedAt: number;
  /** Undefined where requests need no keys. */
  readonly workspaces?: readonly Workspace[] | undefined;
}

/** A period in which a server's entry in the object API said that it drains. */
export interface DrainPeriod {
  readonly server: string;
  /** When the write of the entry was acknowledged. */
  readonly ackedAt: number;
  until: number;
}

const CONFIG_KEY = "gateway/main";
const WRITE_RETRY_MS = 100;
const ENTRY_POLL_MS = 50;

/** Writer of the configuration and the servers' entries. */
export class SoakRegistry {
  readonly configs: ConfigChange[] = [];
  readonly drainPeriods: DrainPeriod[] = [];
  readonly #platform: PlatformStandIn;
  #store: ObjectStore | undefined;
  readonly #hasWorkspaces: boolean;
  #hasFlooded = false;
  #lastChange: Promise<void> = Promise.resolve();

  constructor(platform: PlatformStandIn, { hasWorkspaces = false } = {}) {
    this.#platform = platform;
    this.#hasWorkspaces = hasWorkspaces;
  }

  /** Writes the first version of the configuration. */
  async start(signal: AbortSignal): Promise<void> {
    this.#store = new ObjectStore({ address: this.#platform.address });
    await this.changeConfig(signal);
  }

  async close(): Promise<void> {
    await this.#lastChange;
    await this.#store?.close();
  }

  /** Writes the next version of the configuration, after any change in progress. */
  changeConfig(signal: AbortSignal): Promise<void> {
    this.#lastChange = this.#lastChange.then(async () => {
      const version = this.configs.length + 1;
      const sentAt = performance.now();
      const workspaces = this.#hasWorkspaces
        ? createWorkspaces(version)
        : undefined;
      const change = { version, sentAt, ackedAt: Infinity, workspaces };
      this.configs.push(change);
      const isWritten = await this.#writeUntilAcked(
        CONFIG_KEY,
        {
          ...createConfig(version, { hasFlooded: this.#hasFlooded }),
          workspaces,
        },
        signal,
      );
      if (isWritten) change.ackedAt = performance.now();
    });
    return this.#lastChange;
  }

  /** Adds the services of faulty servers, and their entries. */
  async addFlooded(
    entries: readonly object[],
    signal: AbortSignal,
  ): Promise<void> {
    this.#hasFlooded = true;
    await this.changeConfig(signal);
    for (const [index, entry] of entries.entries()) {
      const common = { bornAt: 1, host: "127.0.0.1", availabilityZone: "a" };
      const value = { ...common, ...entry };
      await this.#writeUntilAcked(`servers/flooded-${index}`, value, signal);
    }
  }

  /** Writes a server's entry whenever the server's state changes, until aborted. */
  async publishEntry(server: SoakServer, signal: AbortSignal): Promise<void> {
    let writtenText = "";
    let drainPeriod: DrainPeriod | undefined;
    while (!signal.aborted) {
      const { isDraining } = server;
      const entry = {
        bornAt: server.bornAt,
        service: server.spec.service,
        host: "127.0.0.1",
        port: server.proxy.port,
        availabilityZone: "a",
        isDraining,
        softwareVersion: server.softwareVersion,
        ...(server.spec.role === undefined
          ? {}
          : { role: server.current.role }),
      };
      const text = JSON.stringify(entry);
      if (text !== writtenText) {
        if (!isDraining && drainPeriod !== undefined) {
          drainPeriod.until = performance.now();
          drainPeriod = undefined;
        }
        if (
          !await this.#writeUntilAcked(`servers/${server.id}`, entry, signal)
        ) return;
        writtenText = text;
        if (isDraining && drainPeriod === undefined) {
          const ackedAt = performance.now();
          drainPeriod = { server: server.id, ackedAt, until: Infinity };
          this.drainPeriods.push(drainPeriod);
        }
      }
      await sleep(ENTRY_POLL_MS, signal);
    }
  }

  /** Retries a write until it is acknowledged; false if aborted before. */
  async #writeUntilAcked(
    key: string,
    value: object,
    signal: AbortSignal,
  ): Promise<boolean> {
    const store = this.#store!;
    while (!signal.aborted) {
      try {
        const stored = await store.get(key);
        const when = stored === undefined
          ? { absent: true } as const
          : { version: stored.version };
        await store.put(key, { value, when });
        return true;
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        // The soak injects failures into the object API, so a failed write is retried.
        await sleep(WRITE_RETRY_MS, signal);
      }
    }
    return false;
  }
}
