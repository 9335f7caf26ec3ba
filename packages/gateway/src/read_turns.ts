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
  readonly #waiting = new Set<net.Socket>();
  #isScheduled = false;

  /** Reads a request's body one chunk a turn, from now until its end. */
  join(req: http.IncomingMessage): void {
    const { socket } = req;
    const wait = () => {
      this.#waiting.add(socket);
      socket.pause();
      this.#schedule();
    };
    // The request resumes its socket by itself whenever it wants more.
    const keepPaused = () => {
      if (this.#waiting.has(socket)) socket.pause();
    };
    const leave = () => {
      req.off("data", wait);
      socket.off("resume", keepPaused);
      if (this.#waiting.delete(socket)) socket.resume();
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
      let count = 0;
      for (const socket of this.#waiting) {
        if (count++ === SOCKETS_PER_TURN) return this.#schedule();
        this.#waiting.delete(socket);
        socket.resume();
      }
    });
  }
}
