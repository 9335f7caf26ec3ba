/**
 * Ends the connections of an HTTP server without losing what has been written to them. A
 * connection that is closed with received bytes unread is reset, which can destroy an
 * answer on its way; so connections are ended in one direction first, and read until the
 * peer has ended the other one.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";
import { setImmediate } from "node:timers/promises";
import { findMeter } from "./read_shares.ts";

/** How long a peer may take to close a connection that was ended. */
const LINGER_MS = 500;

interface Connection {
  /** Requests without a complete response, in the order of their arrival. */
  readonly open: Set<http.ServerResponse>;
  /** Bytes that had been received when the last response was complete. */
  idleBytesRead: number;
  /** Set once nothing more is read of it; it ends after the open responses. */
  isEnding: boolean;
}

const connections = new WeakMap<net.Socket, Connection>();

/** Whether no later request waits for its response on the connection of `res`. */
export function isLastResponse(res: http.ServerResponse): boolean {
  const open = connections.get(res.req.socket)?.open ?? [res];
  return [...open].at(-1) === res;
}

/** Whether a request of a connection has no complete response yet. */
export function hasOpenResponses(socket: net.Socket): boolean {
  return (connections.get(socket)?.open.size ?? 0) > 0;
}

/**
 * Ends a connection on which nothing more can be read, once the requests that had been read
 * are answered. Returns false if there is none, so that a refusal may be written.
 */
export function endAfterOpenResponses(socket: net.Socket): boolean {
  const connection = connections.get(socket);
  if (connection === undefined) return false;
  const isUnanswered = [...connection.open].every(({ req, headersSent }) =>
    !req.complete && !headersSent
  );
  if (isUnanswered && !connection.isEnding) return false;
  connection.isEnding = true;
  closeIfAnswered(socket, connection);
  return true;
}

function closeIfAnswered(socket: net.Socket, connection: Connection): void {
  const { open, isEnding } = connection;
  // Nothing answers a request whose body breaks off.
  const isAnswered = ![...open].some(({ req }) => req.complete);
  if (isEnding && isAnswered) closeGracefully(socket);
}

/** Ends a connection after what was written to it, and closes it once its peer has. */
export function closeGracefully(socket: net.Socket): void {
  if (socket.destroyed || socket.writableEnded) return;
  socket.end();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
}

/** The connections of one server. */
export class OpenConnections {
  readonly #sockets = new Set<net.Socket>();
  readonly #closeWaiters: (() => void)[] = [];

  /** Begins to watch a new connection. */
  add(socket: net.Socket): void {
    const connection: Connection = {
      open: new Set(),
      idleBytesRead: 0,
      isEnding: false,
    };
    this.#sockets.add(socket);
    connections.set(socket, connection);
    // Called by the HTTP server after a response that closes its connection.
    socket.destroySoon = () => closeGracefully(socket);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      // Node.js does not tell the responses that wait for an earlier one.
      void setImmediate().then(() => {
        for (const res of connection.open) closeResponse(res);
      });
      if (this.#sockets.size > 0) return;
      for (const resolve of this.#closeWaiters.splice(0)) resolve();
    });
  }

  /** Adds a request; false if its connection ends before a response to it could be sent. */
  admit(res: http.ServerResponse): boolean {
    const { socket } = res.req;
    const connection = connections.get(socket);
    if (connection === undefined) return true;
    const isEnding = connection.isEnding || socket.writableEnded ||
      [...connection.open].some(({ shouldKeepAlive }) => !shouldKeepAlive);
    if (isEnding) return false;
    connection.open.add(res);
    res.once("close", () => {
      connection.open.delete(res);
      connection.idleBytesRead = socket.bytesRead;
      closeIfAnswered(socket, connection);
      // Node.js forgets a request that was answered before it was read to its end.
      if (!res.req.complete) socket.once("close", () => res.req.destroy());
    });
    return true;
  }

  /** Ends the connections on which no request, or part of one, has arrived. */
  async endIdle(): Promise<void> {
    // What has arrived by now is read first; it may be a request.
    await setImmediate();
    await setImmediate();
    for (const socket of this.#sockets) {
      const { open, idleBytesRead } = connections.get(socket)!;
      const isIdle = open.size === 0 && socket.bytesRead === idleBytesRead &&
        !findMeter(socket)?.queuedBytes;
      if (isIdle) closeGracefully(socket);
    }
  }

  /** Ends all connections; resolves once their peers have closed them too. */
  async endAll(): Promise<void> {
    if (this.#sockets.size === 0) return;
    const closed = new Promise<void>((resolve) =>
      this.#closeWaiters.push(resolve)
    );
    for (const socket of this.#sockets) closeGracefully(socket);
    await closed;
  }
}

function closeResponse(res: http.ServerResponse): void {
  if (res.closed) return;
  res.destroy();
  res.emit("close");
}
