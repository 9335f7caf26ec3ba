/**
 * One server of a soak under its name, over all its starts.
 * @module
 */
import {
  FaultProxy,
  type ReceivedOrder,
  type ReceivedRequest,
  StagedServer,
} from "@bitternfall/stand-ins";
import { EVENT_MS, EVENTS, type SERVERS } from "./soak_config.ts";

/** A server with its proxy. */
export class SoakServer {
  readonly spec: (typeof SERVERS)[number];
  readonly proxy = new FaultProxy({ host: "127.0.0.1", port: 0 });
  readonly #starts: StagedServer[] = [];
  isDraining = false;
  bornAt = 0;

  constructor(spec: (typeof SERVERS)[number]) {
    this.spec = spec;
  }

  get id(): string {
    return this.spec.id;
  }

  /** The start that runs now, or was the last to run. */
  get current(): StagedServer {
    return this.#starts.at(-1)!;
  }

  /** Requests of all starts. */
  get seen(): ReceivedRequest[] {
    return this.#starts.flatMap(({ receivedRequests }) => receivedRequests);
  }

  /** Orders of all starts. */
  get orders(): ReceivedOrder[] {
    return this.#starts.flatMap(({ orders }) => orders);
  }

  async start(): Promise<void> {
    await this.proxy.listen();
    await this.#launch();
  }

  /** Dies with everything that it runs, and starts anew after a while. */
  async crash(whileDown: Promise<void>): Promise<void> {
    this.proxy.refusesNewConnections = true;
    this.proxy.resetConnections();
    await this.current.close();
    await whileDown;
    await this.#launch();
    this.proxy.refusesNewConnections = false;
  }

  async close(): Promise<void> {
    await this.proxy.close();
    await this.current.close();
  }

  async #launch(): Promise<void> {
    const { id, role } = this.spec;
    const server = new StagedServer({ id, events: EVENTS, eventMs: EVENT_MS });
    if (role !== undefined) server.role = role;
    await server.listen();
    this.#starts.push(server);
    this.bornAt = Date.now();
    this.proxy.setTarget({ host: "127.0.0.1", port: server.port });
  }
}
