/**
 * TCP proxy that injects network faults between two processes.
 * @module
 */
import * as net from "node:net";
import { listenOnLoopback } from "./loopback.ts";

/** Direction of the bytes that a silenced connection discards. */
export enum Direction {
  ToServer = "to-server",
  ToClient = "to-client",
  Both = "both",
}

interface ProxiedConnection {
  readonly client: net.Socket;
  readonly server: net.Socket;
  silencedDirection: Direction | undefined;
}

/** Forwards connections from a free loopback port to `target`. */
export class FaultProxy {
  /** Whether new connections are accepted but forward nothing. */
  silencesNewConnections = false;
  /** Delay of each chunk, in both directions. */
  delayMs = 0;
  #lastPort = 0;
  #target: { host: string; port: number };
  readonly #connections = new Set<ProxiedConnection>();
  readonly #server: net.Server;

  constructor(target: { host: string; port: number }) {
    this.#target = target;
    this.#server = net.createServer(
      { noDelay: true },
      (client) => this.#accept(client),
    );
  }

  async listen(port = 0): Promise<void> {
    await listenOnLoopback(this.#server, port);
    this.#lastPort = (this.#server.address() as net.AddressInfo).port;
  }

  /** Changes the target of new connections. */
  setTarget(target: { host: string; port: number }): void {
    this.#target = target;
  }

  /** Port of the last {@link listen}, also after {@link close}, to listen on it again. */
  get port(): number {
    return this.#lastPort;
  }

  /** Whether new connections are accepted; the port refuses them otherwise. */
  get isListening(): boolean {
    return this.#server.listening;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.#connections.size;
  }

  /**
   * Stops forwarding in `direction` on the open connections, without closing them, so that
   * neither end is notified.
   */
  silenceConnections(direction: Direction = Direction.Both): void {
    for (const connection of this.#connections) {
      connection.silencedDirection = direction;
    }
  }

  /** Refuses new connections, and leaves the open ones alone. */
  refuseConnections(): void {
    this.#server.close();
  }

  /** Resets all open connections. */
  resetConnections(): void {
    for (const { client, server } of this.#connections) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  async close(): Promise<void> {
    for (const { client, server } of this.#connections) {
      client.destroy();
      server.destroy();
    }
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: net.Socket): void {
    client.on("error", () => {});
    const server = net.connect({ ...this.#target, noDelay: true });
    const connection: ProxiedConnection = {
      client,
      server,
      silencedDirection: this.silencesNewConnections
        ? Direction.Both
        : undefined,
    };
    this.#connections.add(connection);
    server.on("error", () => client.resetAndDestroy());
    this.#forward({
      connection,
      from: client,
      to: server,
      direction: Direction.ToServer,
    });
    this.#forward({
      connection,
      from: server,
      to: client,
      direction: Direction.ToClient,
    });
  }

  #forward(
    options: {
      connection: ProxiedConnection;
      from: net.Socket;
      to: net.Socket;
      direction: Direction;
    },
  ): void {
    const { connection, from, to, direction } = options;
    const isSilenced = () =>
      connection.silencedDirection === Direction.Both ||
      connection.silencedDirection === direction;
    const delayedActions: (() => void)[] = [];
    const runDelayed = (action: () => void) => {
      if (this.delayMs === 0 && delayedActions.length === 0) return action();
      // Chunks keep their order even if the delay becomes shorter: each timer runs the
      // oldest action, whichever timer fires first.
      delayedActions.push(action);
      setTimeout(() => delayedActions.shift()!(), this.delayMs);
    };
    from.on("data", (chunk) => {
      if (isSilenced()) return;
      runDelayed(() => {
        if (!to.destroyed && !to.write(chunk)) {
          from.pause();
          to.once("drain", () => from.resume());
        }
      });
    });
    from.on("end", () => isSilenced() || runDelayed(() => to.end()));
    from.on("close", (hasFailed) => {
      if (to.closed) this.#connections.delete(connection);
      if (isSilenced()) return;
      // The other side gets what was written before an orderly end.
      runDelayed(() => hasFailed ? to.destroy() : to.destroySoon());
    });
  }
}
