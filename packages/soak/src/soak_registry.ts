/**
 * Writes what operators and servers write into the object API: the configuration and
 * the servers' entries, again and again until they are acknowledged.
 * @module
 */
import { ObjectStore, StoreError } from "@bitternfall/platform";
import type { PlatformStandIn } from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import { createConfig } from "./soak_config.ts";
import type { SoakServer } from "./soak_server.ts";

/** A version of the configuration with when its writing began and was acknowledged. */
export interface ConfigChange {
  readonly version: number;
  readonly sentAt: number;
  ackedAt: number;
}

/** A time in which a server was known to leave. */
export interface LeavingTime {
  readonly server: string;
  readonly ackedAt: number;
  until: number;
}

const CONFIG_KEY = "gateway/main";
const RETRY_MS = 100;
const FOLLOW_MS = 50;

/** The object API as operators and servers see it. */
export class SoakRegistry {
  readonly configs: ConfigChange[] = [];
  readonly leaving: LeavingTime[] = [];
  readonly #platform: PlatformStandIn;
  #store: ObjectStore | undefined;
  #changing: Promise<void> = Promise.resolve();

  constructor(platform: PlatformStandIn) {
    this.#platform = platform;
  }

  async start(signal: AbortSignal): Promise<void> {
    this.#store = new ObjectStore({ address: this.#platform.address });
    await this.changeConfig(signal);
  }

  async close(): Promise<void> {
    await this.#changing;
    await this.#store?.close();
  }

  /** Writes the next version of the configuration. */
  changeConfig(signal: AbortSignal): Promise<void> {
    this.#changing = this.#changing.then(async () => {
      const version = this.configs.length + 1;
      const sentAt = performance.now();
      const change = { version, sentAt, ackedAt: Infinity };
      this.configs.push(change);
      const written = await this.#write(
        CONFIG_KEY,
        createConfig(version),
        signal,
      );
      if (written) change.ackedAt = performance.now();
    });
    return this.#changing;
  }

  /** Keeps a server's entry as the server is. */
  async follow(server: SoakServer, signal: AbortSignal): Promise<void> {
    let written = "";
    let leaving: LeavingTime | undefined;
    while (!signal.aborted) {
      const { isDraining } = server;
      const entry = {
        bornAt: server.bornAt,
        service: server.spec.service,
        host: "127.0.0.1",
        port: server.proxy.port,
        availabilityZone: "a",
        isDraining,
        ...(server.spec.role === undefined
          ? {}
          : { role: server.current.role }),
      };
      const text = JSON.stringify(entry);
      if (text !== written) {
        if (!isDraining && leaving !== undefined) {
          leaving.until = performance.now();
          leaving = undefined;
        }
        if (!await this.#write(`servers/${server.id}`, entry, signal)) return;
        written = text;
        if (isDraining && leaving === undefined) {
          const ackedAt = performance.now();
          leaving = { server: server.id, ackedAt, until: Infinity };
          this.leaving.push(leaving);
        }
      }
      await sleep(FOLLOW_MS, signal);
    }
  }

  /** Writes until acknowledged; false when the soak ended before. */
  async #write(
    key: string,
    value: object,
    signal: AbortSignal,
  ): Promise<boolean> {
    const store = this.#store!;
    while (!signal.aborted) {
      try {
        const known = await store.get(key);
        const when = known === undefined
          ? { absent: true } as const
          : { version: known.version };
        await store.put(key, { value, when });
        return true;
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        // The soak itself makes the object API fail; what counts is the acknowledgement.
        await sleep(RETRY_MS, signal);
      }
    }
    return false;
  }
}
