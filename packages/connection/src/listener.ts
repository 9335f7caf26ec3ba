/**
 * HTTP servers with bounds on what an unfinished request may cost, over TLS where a
 * certificate is configured. Certificates are read again when their files change.
 * @module
 */
import type { Buffer } from "node:buffer";
import * as fs from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";

/** Files of a certificate. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  /** Certificate authority that clients must present a certificate of. */
  readonly caFile?: string | undefined;
}

/** Options of a {@link Listener}. */
export interface ListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly maxHeaderBytes?: number;
  /** Time within which a request must have been received whole. */
  readonly requestReadMs?: number;
  readonly maxConnections?: number;
  readonly onTlsReload?: () => void;
}

const KEEP_ALIVE_MS = 60_000;
const CHECK_INTERVAL_MS = 1000;
const TLS_POLL_MS = 1000;

/** A listening HTTP or HTTPS server. */
export class Listener {
  readonly server: http.Server;
  readonly #options: ListenerOptions;

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
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true,
    };
    const { tls } = options;
    this.server = tls === undefined
      ? http.createServer(limits, handler)
      : https.createServer({
        ...limits,
        ...readTls(tls),
        requestCert: tls.caFile !== undefined,
      }, handler);
    this.server.maxConnections = maxConnections;
    this.server.on("clientError", answerClientError);
  }

  /** Starts to listen and returns the bound port. */
  async listen(): Promise<number> {
    const { host, port, tls } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, () => resolve());
    });
    if (tls !== undefined) this.#watchTls(tls);
    return (this.server.address() as AddressInfo).port;
  }

  /** Takes no new connections and closes idle ones; requests under way go on. */
  stopAccepting(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Stops listening and cuts what is still open. */
  async close(): Promise<void> {
    const { tls } = this.#options;
    if (tls !== undefined) fs.unwatchFile(tls.certFile);
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => resolve())
    );
    this.server.closeAllConnections();
    await closed;
  }

  #watchTls(tls: TlsFiles): void {
    fs.watchFile(
      tls.certFile,
      { interval: TLS_POLL_MS, persistent: false },
      () => {
        try {
          (this.server as https.Server).setSecureContext(readTls(tls));
          this.#options.onTlsReload?.();
        } catch {
          // A half-written pair of files is read again at its next change.
        }
      },
    );
  }
}

function readTls(tls: TlsFiles): { cert: Buffer; key: Buffer; ca?: Buffer } {
  const pair = {
    cert: fs.readFileSync(tls.certFile),
    key: fs.readFileSync(tls.keyFile),
  };
  return tls.caFile === undefined
    ? pair
    : { ...pair, ca: fs.readFileSync(tls.caFile) };
}

/** Refuses what is not a well-formed request, with the same body as any other refusal. */
function answerClientError(err: NodeJS.ErrnoException, socket: Duplex): void {
  if (err.code === "ECONNRESET" || !socket.writable) {
    return void socket.destroy();
  }
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
