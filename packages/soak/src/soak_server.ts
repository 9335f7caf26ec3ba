/**
 * A server of a soak that keeps its ID and address over restarts.
 * @module
 */
import {
  FaultProxy,
  type NamedLimit,
  type ReceivedOrder,
  type ReceivedRequest,
  type ServerCrash,
  StagedServer,
} from "@bitternfall/stand-ins";
import { sleep } from "@bitternfall/types";
import {
  EVENT_INTERVAL_MS,
  EVENTS_PER_STREAM,
  type SERVERS,
} from "./soak_config.ts";

const UP_CHECK_INTERVAL_MS = 20;

/** Options of a {@link SoakServer}. */
export interface SoakServerOptions {
  /** Parts of prompts that end the server; may change at any time. */
  readonly crashingParts: ReadonlySet<string>;
  /** Bodies of requests that end the server; may change at any time. */
  readonly crashingBodies: ReadonlySet<string>;
  /** Ends the server, and starts it again later. */
  readonly onCrash: (server: SoakServer) => void;
}

/** A server behind a fault proxy; each start runs a new {@link StagedServer}. */
export class SoakServer {
  readonly spec: (typeof SERVERS)[number];
  readonly #options: SoakServerOptions;
  readonly proxy = new FaultProxy({ host: "127.0.0.1", port: 0 });
  readonly #instances: StagedServer[] = [];
  isDraining = false;
  bornAt = 0;
  /** Version of the instances that are started from now on. */
  softwareVersion = "v1";

  constructor(spec: (typeof SERVERS)[number], options: SoakServerOptions) {
    this.spec = spec;
    this.#options = options;
  }

  get id(): string {
    return this.spec.id;
  }

  /** The instance that runs, or the last one while the server is down. */
  get current(): StagedServer {
    return this.#instances.at(-1)!;
  }

  /** Requests that all instances received. */
  get receivedRequests(): ReceivedRequest[] {
    return this.requestsByInstance.flat();
  }

  /** Requests that each instance received. */
  get requestsByInstance(): readonly (readonly ReceivedRequest[])[] {
    return this.#instances.map(({ receivedRequests }) => receivedRequests);
  }

  /** Limits that all instances have named. */
  get namedLimits(): NamedLimit[] {
    return this.#instances.flatMap(({ namedLimits }) => namedLimits);
  }

  /** Ends of all instances under requests. */
  get crashes(): ServerCrash[] {
    return this.#instances.flatMap(({ crashes }) => crashes);
  }

  /** Orders that all instances received. */
  get orders(): ReceivedOrder[] {
    return this.#instances.flatMap(({ orders }) => orders);
  }

  async start(): Promise<void> {
    await this.proxy.listen();
    await this.#startInstance();
  }

  /** Stops with all requests that it runs, and restarts once `whileDown` resolves. */
  async crash(whileDown: Promise<void>): Promise<void> {
    this.proxy.resetConnections();
    await this.proxy.close();
    this.current.nameLimit(undefined);
    await this.current.close();
    await whileDown;
    await this.#startInstance();
    await this.proxy.listen(this.proxy.port);
  }

  /**
   * Names a limit once the server is up, until it ends or the returned function is called;
   * undefined if it names one already.
   */
  async nameLimit(
    requestsPerSecond: number,
  ): Promise<(() => void) | undefined> {
    while (!this.proxy.isListening) await sleep(UP_CHECK_INTERVAL_MS);
    const { current } = this;
    if (current.namedLimits.at(-1)?.until === Infinity) return undefined;
    current.nameLimit(requestsPerSecond);
    return () => current.nameLimit(undefined);
  }

  async close(): Promise<void> {
    await this.proxy.close();
    await this.current.close();
  }

  async #startInstance(): Promise<void> {
    const { id, role } = this.spec;
    const server = new StagedServer({
      id,
      events: EVENTS_PER_STREAM,
      eventMs: EVENT_INTERVAL_MS,
      softwareVersion: this.softwareVersion,
      crashingParts: this.#options.crashingParts,
      crashingBodies: this.#options.crashingBodies,
      onCrash: () => this.#options.onCrash(this),
    });
    if (role !== undefined) server.role = role;
    await server.listen();
    this.#instances.push(server);
    this.bornAt = Date.now();
    this.proxy.setTarget({ host: "127.0.0.1", port: server.port });
  }
}
