/**
 * A TCP proxy that injects faults between two processes.
 * @module
 */
import * as net from "node:net";

/** Direction of the bytes that a fault holds back. */
export enum Direction {
  ToServer = "to-server",
  ToClient = "to-client",
  Both = "both",
}

interface Link {
  readonly client: net.Socket;
  readonly server: net.Socket;
  silent: Direction | undefined;
}

/** Forwards connections from a free loopback port to `target`. */
export class FaultProxy {
  /** New connections are refused by closing them at once. */
  refuse = false;
  /** New connections are accepted and go silent. */
  silentNew = false;
  /** Added to each chunk in either direction. */
  delayMs = 0;
  #lastPort = 0;
  #target: { host: string; port: number };
  readonly #links = new Set<Link>();
  readonly #server: net.Server;

  constructor(target: { host: string; port: number }) {
    this.#target = target;
    this.#server = net.createServer(
      { noDelay: true },
      (client) => this.#accept(client),
    );
  }

  async listen(port = 0): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", () => resolve())
    );
    this.#lastPort = this.port;
  }

  /** New connections go to another target. */
  setTarget(target: { host: string; port: number }): void {
    this.#target = target;
  }

  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Port of the last listen, to listen on again after {@link close}. */
  get lastPort(): number {
    return this.#lastPort;
  }

  /** Connections open now. */
  get open(): number {
    return this.#links.size;
  }

  /** The open connections deliver nothing more in `direction`; nothing tells either end. */
  silenceOpen(direction: Direction = Direction.Both): void {
    for (const link of this.#links) link.silent = direction;
  }

  /** Resets all open connections. */
  resetOpen(): void {
    for (const { client, server } of this.#links) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  async close(): Promise<void> {
    for (const { client, server } of this.#links) {
      client.destroy();
      server.destroy();
    }
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: net.Socket): void {
    client.on("error", () => {});
    if (this.refuse) return void client.resetAndDestroy();
    const server = net.connect({ ...this.#target, noDelay: true });
    const link: Link = {
      client,
      server,
      silent: this.silentNew ? Direction.Both : undefined,
    };
    this.#links.add(link);
    server.on("error", () => client.resetAndDestroy());
    this.#forward({
      link,
      from: client,
      to: server,
      direction: Direction.ToServer,
    });
    this.#forward({
      link,
      from: server,
      to: client,
      direction: Direction.ToClient,
    });
  }

  #forward(
    options: {
      link: Link;
      from: net.Socket;
      to: net.Socket;
      direction: Direction;
    },
  ): void {
    const { link, from, to, direction } = options;
    const blocked = () =>
      link.silent === Direction.Both || link.silent === direction;
    const waiting: (() => void)[] = [];
    const later = (action: () => void) => {
      if (this.delayMs === 0 && waiting.length === 0) return action();
      // What comes later never overtakes, also where the delay has become shorter.
      waiting.push(action);
      setTimeout(() => waiting.shift()!(), this.delayMs);
    };
    from.on("data", (chunk) => {
      if (blocked()) return;
      later(() => {
        if (!to.destroyed && !to.write(chunk)) {
          from.pause();
          to.once("drain", () => from.resume());
        }
      });
    });
    from.on("end", () => blocked() || later(() => to.end()));
    from.on("close", () => {
      this.#links.delete(link);
      if (!blocked()) later(() => to.destroy());
    });
  }
}
