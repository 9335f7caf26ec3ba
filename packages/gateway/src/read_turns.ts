/**
 * Lets large bodies be read in turns. Node.js reads up to 2 MB from each readable socket
 * before it serves anything else, so that many callers with large bodies would hold up all.
 * @module
 */
import type * as http from "node:http";
import type * as net from "node:net";

/** Sockets that may read one chunk each before other events are served. */
const SOCKETS_PER_TURN = 4;

/** Gives sockets their turns, first come first served. */
export class ReadTurns {
  readonly #accepted = new Set<net.Socket>();
  /** They get turns while no accepted body waits. */
  readonly #refused = new Set<net.Socket>();
  #isScheduled = false;

  /** Reads a request's body one chunk a turn, from now until its end. */
  join(req: http.IncomingMessage, { isRefused = false } = {}): void {
    const { socket } = req;
    const waiting = isRefused ? this.#refused : this.#accepted;
    const wait = () => {
      waiting.add(socket);
      socket.pause();
      this.#schedule();
    };
    // The request resumes its socket by itself whenever it wants more.
    const keepPaused = () => {
      if (waiting.has(socket)) socket.pause();
    };
    const leave = () => {
      req.off("data", wait);
      socket.off("resume", keepPaused);
      if (waiting.delete(socket)) socket.resume();
    };
    req.on("data", wait);
    socket.on("resume", keepPaused);
    req.once("end", leave);
    req.once("close", leave);
    wait();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      const waiting = this.#accepted.size > 0 ? this.#accepted : this.#refused;
      let count = 0;
      for (const socket of waiting) {
        if (count++ === SOCKETS_PER_TURN) break;
        waiting.delete(socket);
        socket.resume();
      }
      if (this.#accepted.size + this.#refused.size > 0) this.#schedule();
    });
  }
}
