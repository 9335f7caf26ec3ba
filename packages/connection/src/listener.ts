/**
 * HTTP servers with limits on header size, request time and connections, over TLS where
 * a certificate is configured. The certificate is reloaded when one of its files changes.
 * @module
 */
import type { Buffer } from "node:buffer";
import { once } from "node:events";
import * as fs from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import * as net from "node:net";
import type { Duplex } from "node:stream";
import * as timers from "node:timers/promises";
import { monotonicNow } from "@bitternfall/types";
import {
  closeGracefully,
  endAfterOpenResponses,
  hasOpenResponses,
  OpenConnections,
} from "./graceful_close.ts";
import { getMessage } from "@bitternfall/errors";
import { findMeter, meterSocket } from "./read_shares.ts";

/** Paths of the PEM files for TLS. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  /** Certificate authority that must have signed the clients' certificates. */
  readonly caFile?: string | undefined;
}

/** Tells of the TLS files of a {@link Listener} that have changed. */
export interface TlsReloadListener {
  /** Called after a changed certificate has been loaded. */
  readonly onTlsReload?: () => void;
  /** Called when changed files can't be used; the last ones stay in force. */
  readonly onTlsRejected?: (reason: string) => void;
}

/** Options of a {@link Listener}. */
export interface ListenerOptions extends TlsReloadListener {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly maxHeaderBytes?: number;
  /** Time within which the complete request must have been received. */
  readonly requestReadMs?: number;
  readonly maxConnections?: number;
}

/** Time in which the first request on a connection arrives, as a rule. */
const FIRST_REQUEST_MS = 150;
/** Longest time that is spent on accepting connections that wait for it. */
const MAX_ACCEPT_MS = 300;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
const TLS_FILE_POLL_INTERVAL_MS = 1000;

/** A listening HTTP or HTTPS server. */
export class Listener {
  readonly server: http.Server;
  readonly #options: ListenerOptions;
  readonly #connections = new OpenConnections();
  /** Also those on which no TLS handshake has been completed. */
  readonly #sockets = new Set<net.Socket>();
  readonly #onTlsChange = () => this.#reloadTls(this.#options.tls!);
  #tlsRetry: NodeJS.Timeout | undefined;
  /** Why the changed files can't be used. */
  #tlsRejection: string | undefined;

  constructor(options: ListenerOptions, handler?: http.RequestListener) {
    const {
      maxHeaderBytes = 16_384,
      requestReadMs = 10_000,
      maxConnections = 10_000,
    } = options;
    this.#options = options;
    const limits = {
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: requestReadMs,
      requestTimeout: requestReadMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true,
    };
    const { tls } = options;
    this.server = tls === undefined
      ? http.createServer(limits)
      : https.createServer({
        ...limits,
        requestCert: tls.caFile !== undefined,
      });
    this.server.on("connection", (socket: net.Socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    this.server.on(
      tls === undefined ? "connection" : "secureConnection",
      (socket: net.Socket) => {
        this.#connections.add(socket);
        meterSocket(socket);
        // Has the HTTP server read by way of the stream; else it would read past it.
        socket.on("data", ignoreData).off("data", ignoreData);
      },
    );
    this.server.on("request", (req, res) => {
      if (this.#connections.admit(res)) handler?.(req, res);
      // Its connection ends before a response to it could be sent.
      else req.resume();
    });
    this.server.maxConnections = maxConnections;
    // A server goes on after a connection that it can't accept, as with EMFILE.
    this.server.on("error", () => {});
    this.server.on("clientError", handleClientError);
  }

  /** The port to bind; 0 stands for a free one. */
  get port(): number {
    return this.#options.port;
  }

  /** Starts listening and returns the bound port; may be called again after a failure. */
  async listen(): Promise<number> {
    const { host, port, tls } = this.#options;
    if (tls !== undefined) this.#loadTlsFiles(tls);
    this.server.listen(port, host);
    await once(this.server, "listening");
    if (tls !== undefined) {
      for (const file of listTlsFiles(tls)) {
        fs.watchFile(
          file,
          { interval: TLS_FILE_POLL_INTERVAL_MS, persistent: false },
          this.#onTlsChange,
        );
      }
    }
    return (this.server.address() as net.AddressInfo).port;
  }

  /**
   * Stops accepting connections; requests in flight continue. Resolves once those who have
   * just connected could send a request, and idle connections have been ended.
   */
  async stopAccepting(): Promise<void> {
    await this.#acceptWaiting();
    // The method of http.Server would destroy connections with an unsent response.
    net.Server.prototype.close.call(this.server);
    await timers.setTimeout(FIRST_REQUEST_MS);
    await this.#connections.endIdle();
  }

  /** Ends all connections; resolves once their peers have closed them, or shortly after. */
  endConnections(): Promise<void> {
    return this.#connections.endAll();
  }

  /** Stops listening and closes all open connections. */
  async close(): Promise<void> {
    const { tls } = this.#options;
    clearTimeout(this.#tlsRetry);
    if (tls !== undefined) {
      for (const file of listTlsFiles(tls)) {
        fs.unwatchFile(file, this.#onTlsChange);
      }
    }
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => resolve())
    );
    this.server.closeAllConnections();
    // The HTTP server does not know connections before their TLS handshake.
    for (const socket of this.#sockets) socket.destroy();
    await closed;
  }

  /** Accepts the connections that wait for it, which would be reset. */
  async #acceptWaiting(): Promise<void> {
    const endsAt = monotonicNow() + MAX_ACCEPT_MS;
    let quietTurns = 0;
    const onConnection = () => quietTurns = 0;
    this.server.on("connection", onConnection);
    // One connection is accepted in each turn of the event loop; the first may be half over.
    while (quietTurns < 2 && monotonicNow() < endsAt) {
      quietTurns++;
      await timers.setImmediate();
    }
    this.server.off("connection", onConnection);
  }

  #loadTlsFiles(tls: TlsFiles): void {
    (this.server as https.Server).setSecureContext(readTlsFiles(tls));
  }

  #reloadTls(tls: TlsFiles): void {
    clearTimeout(this.#tlsRetry);
    const { onTlsReload, onTlsRejected } = this.#options;
    try {
      this.#loadTlsFiles(tls);
      this.#tlsRejection = undefined;
    } catch (err) {
      const reason = getMessage(err);
      if (reason !== this.#tlsRejection) onTlsRejected?.(reason);
      this.#tlsRejection = reason;
      // No change of the files need follow, as where they could not be opened.
      this.#tlsRetry = setTimeout(
        this.#onTlsChange,
        TLS_FILE_POLL_INTERVAL_MS,
      ).unref();
      return;
    }
    onTlsReload?.();
  }
}

function listTlsFiles({ certFile, keyFile, caFile }: TlsFiles): string[] {
  return [certFile, keyFile, ...(caFile === undefined ? [] : [caFile])];
}

function readTlsFiles(
  tls: TlsFiles,
): { cert: Buffer; key: Buffer; ca?: Buffer } {
  const certAndKey = {
    cert: fs.readFileSync(tls.certFile),
    key: fs.readFileSync(tls.keyFile),
  };
  return tls.caFile === undefined
    ? certAndKey
    : { ...certAndKey, ca: fs.readFileSync(tls.caFile) };
}

function ignoreData(): void {}

/** Rejects a malformed or unfinished request, unless earlier ones are being answered. */
function handleClientError(err: NodeJS.ErrnoException, duplex: Duplex): void {
  const socket = duplex as net.Socket;
  if (err.code === "ECONNRESET") return void socket.destroy();
  // The parser would fail again with each of the bytes that follow.
  findMeter(socket)?.dropRest();
  // The caller has ended its side, which ends its requests as well.
  if (err.code === "HPE_INVALID_EOF_STATE" && hasOpenResponses(socket)) {
    return closeGracefully(socket);
  }
  if (endAfterOpenResponses(socket)) return;
  if (!socket.writable) return void socket.destroy();
  sendClientErrorResponse(err, socket);
}

/** Sends a refusal with a body like that of others. */
function sendClientErrorResponse(
  err: NodeJS.ErrnoException,
  socket: net.Socket,
): void {
  const [status, type] = err.code === "HPE_HEADER_OVERFLOW"
    ? ["431 Request Header Fields Too Large", "headers_too_large"]
    : err.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? ["408 Request Timeout", "request_timeout"]
    : ["400 Bad Request", "bad_request"];
  const body = JSON.stringify({
    error: {
      type,
      message: "the request could not be read",
      outcome: "not-run",
    },
  });
  socket.end(
    `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\nbitternfall-outcome: not-run\r\n` +
      `content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`,
  );
}
