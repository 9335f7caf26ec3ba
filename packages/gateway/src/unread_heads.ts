/**
 * Limits the memory of heads that have begun to arrive and are not complete. The runtime
 * parses them onto the heap and shows them only once they are.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";
import { findMeter, hasOpenResponses } from "@bitternfall/connection";
import type { MemoryPool } from "@bitternfall/caller";

const CHECK_INTERVAL_MS = 50;
/** Heap for each byte of a head of short headers. */
export const HEAP_PER_BYTE = 25;
/** Time in which a caller can read its refusal before its connection is closed. */
const REFUSAL_MS = 300;
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.00\r\n" +
  "content-length: 0\r\nconnection: close\r\n\r\n";

/** Options of an {@link UnreadHeads}. */
export interface UnreadHeadsOptions {
  readonly heads: MemoryPool;
  readonly maxHeadBytes: number;
}

/**
 * Refuses the longest unfinished heads when all of them take too much memory; last those
 * behind requests that are still being answered, whose connections are reset.
 */
export class UnreadHeads {
  readonly #options: UnreadHeadsOptions;
  /** Sockets that wait for a head, with the bytes that were read before it. */
  readonly #readBefore = new Map<net.Socket, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: UnreadHeadsOptions) {
    this.#options = options;
  }

  /** Counts the heads on a server; called before it listens. */
  watch(server: http.Server, options: { takesUpgrades?: boolean } = {}): void {
    server.on("connection", (socket) => {
      this.#readBefore.set(socket, 0);
      socket.once("close", () => this.#readBefore.delete(socket));
      this.#startTimer();
    });
    server.on("request", (req) => this.#onRequest(req));
    // A listener that does not upgrade would keep such requests from being served.
    if (options.takesUpgrades) {
      server.on("upgrade", ({ socket }) => this.#readBefore.delete(socket));
    }
  }

  #onRequest(req: http.IncomingMessage): void {
    const { socket } = req;
    this.#readBefore.delete(socket);
    const expectHead = () => {
      if (!socket.destroyed) this.#readBefore.set(socket, countParsed(socket));
    };
    if (req.complete) expectHead();
    else req.once("end", expectHead);
  }

  /** Whether the open connections could hold more than the limit. */
  get #needsCheck(): boolean {
    const { heads, maxHeadBytes } = this.#options;
    const perSocketBytes = maxHeadBytes * HEAP_PER_BYTE;
    return this.#readBefore.size * perSocketBytes > heads.limitBytes / 2;
  }

  #startTimer(): void {
    if (this.#timer !== undefined || !this.#needsCheck) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#check();
      this.#startTimer();
    }, CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  #check(): void {
    const { heads } = this.#options;
    const unread = [...this.#readBefore]
      .map(([socket, before]) => ({
        socket,
        bytes: countParsed(socket) - before,
        isAnswering: hasOpenResponses(socket),
      }))
      .filter(({ bytes }) => bytes > 0);
    let heapBytes = unread.reduce(
      (sum, { bytes }) => sum + bytes * HEAP_PER_BYTE,
      0,
    );
    const limitBytes = Math.max(
      heads.limitBytes / 2,
      heads.limitBytes - heads.heldBytes,
    );
    if (heapBytes <= limitBytes) return;
    unread.sort((a, b) =>
      Number(a.isAnswering) - Number(b.isAnswering) || b.bytes - a.bytes
    );
    for (const { socket, bytes, isAnswering } of unread) {
      // A refusal would be read as a part of the open answer.
      if (isAnswering) socket.resetAndDestroy();
      else this.#refuse(socket);
      heapBytes -= bytes * HEAP_PER_BYTE;
      if (heapBytes <= limitBytes) return;
    }
  }

  #refuse(socket: net.Socket): void {
    this.#readBefore.delete(socket);
    socket.pause();
    socket.end(REFUSAL);
    setTimeout(() => socket.destroy(), REFUSAL_MS).unref();
  }
}

/** Bytes of a socket that have been parsed; those that wait for it take no heap. */
function countParsed(socket: net.Socket): number {
  return findMeter(socket)?.handedOnBytes ?? socket.bytesRead;
}
