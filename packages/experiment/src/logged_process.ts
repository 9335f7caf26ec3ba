/**
 * Child processes whose log lines and end can be waited for.
 * @module
 */
import * as childProcess from "node:child_process";
import { EventEmitter, once } from "node:events";
import * as net from "node:net";
import process from "node:process";
import * as readline from "node:readline";

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A log line of a numbered event. */
export interface EventLine {
  readonly event: number;
  readonly [field: string]: unknown;
}

/** A Node process that writes numbered events to standard output or standard error. */
export class LoggedProcess {
  /** Resolves once the process has ended and its output is read. */
  readonly ended: Promise<ProcessEnd>;
  readonly #child: childProcess.ChildProcess;
  readonly #lines: string[] = [];
  readonly #changes = new EventEmitter().setMaxListeners(0);
  #end: ProcessEnd | undefined;

  constructor(args: readonly string[]) {
    this.#child = childProcess.spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const output of [this.#child.stdout!, this.#child.stderr!]) {
      readline.createInterface({ input: output }).on("line", (line) => {
        this.#lines.push(line);
        this.#changes.emit("change");
      });
    }
    this.ended = once(this.#child, "close").then(([code, signal]) => {
      this.#end = { code, signal };
      this.#changes.emit("change");
      return this.#end;
    });
  }

  /** Everything that the process has printed so far. */
  get output(): string {
    return this.#lines.join("\n");
  }

  /** The lines of one event so far. */
  listEvents(id: number): EventLine[] {
    return this.#lines.filter((line) => line.includes(`"event":${id},`))
      .map((line) => JSON.parse(line) as EventLine);
  }

  /** Waits for the first line of an event; throws if the process ends without it. */
  async waitForEvent(id: number): Promise<EventLine> {
    for (;;) {
      const [line] = this.listEvents(id);
      if (line !== undefined) return line;
      if (this.#end !== undefined) {
        const end = JSON.stringify(this.#end);
        throw new Error(`no event ${id} before ${end}:\n${this.output}`);
      }
      await once(this.#changes, "change");
    }
  }

  kill(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Kills the process and waits for its end. */
  async stop(): Promise<void> {
    this.kill("SIGKILL");
    await this.ended;
  }
}

/** Listens on a free port of the loopback; `free` ends that. */
export async function occupyPort(): Promise<{ port: number; free(): void }> {
  const server = net.createServer((socket) => socket.destroy());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  return { port, free: () => void server.close() };
}

/** Below the ports that systems give to connections and to listeners on port 0. */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 64;
const PROCESSES = 300;

let portCount = 0;

/** Returns free ports of the loopback, which no one is given who asks for any port. */
export async function findFreePorts(count: number): Promise<number[]> {
  const first = FIRST_PORT + process.pid % PROCESSES * PORTS_PER_PROCESS;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = first + portCount++ % PORTS_PER_PROCESS;
    if (await canListen(port)) ports.push(port);
  }
  return ports;
}

async function canListen(port: number): Promise<boolean> {
  const server = net.createServer().listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** Whether a port of the loopback accepts a connection. */
export async function acceptsConnections(port: number): Promise<boolean> {
  const socket = net.connect(port, "127.0.0.1");
  try {
    await once(socket, "connect");
    return true;
  } catch {
    return false;
  } finally {
    socket.destroy();
  }
}
