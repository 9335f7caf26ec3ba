/**
 * Preloaded into a gateway process to cut it from all servers. `SOAK_LINKS` is "file, port
 * that gets no reply, ports of the servers"; the file holds how the links are lost, or nothing.
 * @module
 */
import * as fs from "node:fs";
import net from "node:net";
import process from "node:process";
import { getCode } from "@bitternfall/errors";

/** How a gateway's links to the servers are lost. */
export enum LostLinks {
  /** Open connections are reset, new ones refused. */
  Reset = "reset",
  /** Open connections live on, new ones are refused. */
  Refused = "refused",
  /** Nothing arrives, and new connections get no reply. */
  Hang = "hang",
}

/** Nothing listens on this port. */
const CLOSED_PORT = 1;
const POLL_INTERVAL_MS = 20;

/** The internal handle of a socket, which stops and starts reading. */
interface ReadableSocket extends net.Socket {
  readonly _handle?: { readStop(): void; readStart(): void } | null;
}

function cutOnDemand(
  file: string,
  { hangingPort, ports }: { hangingPort: number; ports: ReadonlySet<number> },
): void {
  const sockets = new Set<ReadableSocket>();
  let lost = "";
  const { connect } = net.Socket.prototype;
  net.Socket.prototype.connect = function (
    this: net.Socket,
    ...args: unknown[]
  ) {
    // Node.js passes options and callback as one array.
    const list = (Array.isArray(args[0]) ? args[0] : args) as unknown[];
    const { port } = list[0] as { port?: number };
    if (ports.has(Number(port))) {
      sockets.add(this);
      this.once("close", () => sockets.delete(this));
      if (lost !== "") {
        const closed = lost === LostLinks.Hang ? hangingPort : CLOSED_PORT;
        list[0] = { ...list[0] as object, port: closed };
      }
    }
    return Reflect.apply(connect, this, args);
  };
  setInterval(() => {
    const before = lost;
    lost = readLostLinks(file);
    if (lost === before) return;
    for (const socket of sockets) {
      if (lost === LostLinks.Reset) {
        const err = Object.assign(new Error("reset"), { code: "ECONNRESET" });
        socket.destroy(err);
      } else if (lost === LostLinks.Hang) socket._handle?.readStop();
      else if (before === LostLinks.Hang) socket._handle?.readStart();
    }
  }, POLL_INTERVAL_MS).unref();
}

/** Returns what a file says of the links; nothing if it is removed, at whatever moment. */
export function readLostLinks(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (err) {
    if (getCode(err) !== "ENOENT") throw err;
    return "";
  }
}

const [file, hangingPort, ...ports] = (process.env.SOAK_LINKS ?? "").split(",");
if (file !== undefined && file !== "") {
  cutOnDemand(file, {
    hangingPort: Number(hangingPort),
    ports: new Set(ports.map(Number)),
  });
}
