/**
 * Small HTTP server with JSON responses, shared by the stand-ins.
 * @module
 */
import * as http from "node:http";
import type { AddressInfo } from "node:net";

/** A request with its complete body. */
export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  readonly text: string;
  readonly raw: http.IncomingMessage;
}

/** Handles one request and writes the response to `res`. */
export type JsonHandler = (
  req: JsonRequest,
  res: http.ServerResponse,
) => void | Promise<void>;

/** Sends `value` as a JSON response, unless the connection is closed. */
export function sendJson(
  res: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  if (res.destroyed) return;
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(value));
}

/** An HTTP server on a loopback port. */
export class JsonServer {
  readonly #server: http.Server;
  readonly address: string;

  private constructor(server: http.Server, address: string) {
    this.#server = server;
    this.address = address;
  }

  /** Listens on `port`, or on a free port if it is 0. */
  static async listen(handler: JsonHandler, port = 0): Promise<JsonServer> {
    const server = http.createServer(
      { keepAliveTimeout: 60_000 },
      (raw, res) => {
        void handleRequest({ raw, res, handler });
      },
    );
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, "127.0.0.1", () => resolve());
    });
    const { port: bound } = server.address() as AddressInfo;
    return new JsonServer(server, `http://127.0.0.1:${bound}`);
  }

  /** Stops at once and closes all open connections. */
  close(): Promise<void> {
    this.#server.closeAllConnections();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }
}

async function handleRequest(
  options: {
    raw: http.IncomingMessage;
    res: http.ServerResponse;
    handler: JsonHandler;
  },
): Promise<void> {
  const { raw, res, handler } = options;
  try {
    let text = "";
    raw.setEncoding("utf8");
    for await (const chunk of raw) text += chunk;
    const url = new URL(raw.url ?? "/", "http://stand-in");
    await handler({
      method: raw.method ?? "GET",
      url,
      headers: raw.headers,
      text,
      raw,
    }, res);
  } catch (err) {
    if (res.headersSent) res.destroy();
    else sendJson(res, 500, { error: String(err) });
  }
}
