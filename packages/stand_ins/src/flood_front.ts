/**
 * HTTP server before a sound one, which answers some requests with a flood.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import { type Flood, writeFlood } from "./floods.ts";
import { listenOnLoopback } from "./loopback.ts";

/** Options of a {@link FloodFront}. */
export interface FloodFrontOptions {
  /** Port of the sound server. */
  readonly port: number;
  /** Returns what a request is answered with; undefined for the sound server's answer. */
  readonly findFlood: (req: http.IncomingMessage) => Flood | undefined;
}

const HOST = "127.0.0.1";

/** Forwards requests, or answers them with a flood. */
export class FloodFront {
  /** Ids of the requests that were answered with a flood. */
  readonly floodedIds = new Set<string>();
  readonly #options: FloodFrontOptions;
  readonly #server = http.createServer((req, res) => this.#handle(req, res));
  #floods = 0;

  constructor(options: FloodFrontOptions) {
    this.#options = options;
  }

  get port(): number {
    return (this.#server.address() as net.AddressInfo).port;
  }

  /** Number of requests that were answered with a flood. */
  get floods(): number {
    return this.#floods;
  }

  async listen(): Promise<void> {
    await listenOnLoopback(this.#server, 0);
  }

  /** Closes all connections, so that no flood goes on. */
  closeConnections(): void {
    this.#server.closeAllConnections();
  }

  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.#server.close(() => resolve())
    );
    this.#server.closeAllConnections();
    await closed;
  }

  #handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    const flood = this.#options.findFlood(req);
    if (flood === undefined) return forward(req, res, this.#options.port);
    const id = String(req.headers["bitternfall-request-id"] ?? "");
    this.#floods++;
    this.floodedIds.add(id);
    req.resume();
    req.once("end", () => void writeFlood(req.socket, flood, { id }));
  }
}

function forward(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  port: number,
): void {
  const { method, url, headers } = req;
  const options = { host: HOST, port, method, path: url, headers };
  const forwarded = http.request(
    { ...options, agent: false } as http.RequestOptions,
    (answer) => {
      res.writeHead(answer.statusCode!, answer.headers);
      answer.on("error", () => res.destroy());
      answer.pipe(res);
    },
  );
  forwarded.on("error", () => res.destroy());
  res.once("close", () => forwarded.destroy());
  req.pipe(forwarded);
}
