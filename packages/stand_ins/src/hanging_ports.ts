/**
 * Ports on which connection attempts get no reply, as behind a network partition.
 * @module
 */
import * as net from "node:net";
import { Worker } from "node:worker_threads";

/** Attempts that fill a listener's queue; Linux queues one more than the backlog. */
const FILLING_CONNECTIONS = 3;

/** Listens without accepting: a worker thread listens, and then blocks its event loop. */
const WORKER_CODE = `
const { parentPort, workerData } = require("node:worker_threads");
const net = require("node:net");
const { gate } = workerData;
parentPort.once("message", (ports) => {
  let open = ports.length;
  for (const port of ports) {
    net.createServer().listen(port, "127.0.0.1", 1, () => {
      if (--open > 0) return;
      parentPort.postMessage("listening");
      setTimeout(() => Atomics.wait(new Int32Array(gate), 0, 0));
    });
  }
});
parentPort.postMessage("started");
`;

/** Holds ports until {@link close}. */
export class HangingPorts {
  readonly #gate = new SharedArrayBuffer(4);
  readonly #fillers: net.Socket[] = [];
  #worker: Worker | undefined;

  /** Starts the thread, so that {@link listen} takes little time. */
  async start(): Promise<void> {
    const workerData = { gate: this.#gate };
    this.#worker = new Worker(WORKER_CODE, { eval: true, workerData });
    await this.#waitForWorker();
  }

  /** Listens on ports that nothing else listens on. */
  async listen(ports: readonly number[]): Promise<void> {
    if (this.#worker === undefined) await this.start();
    this.#worker!.postMessage(ports);
    await this.#waitForWorker();
    for (const port of ports) {
      for (let index = 0; index < FILLING_CONNECTIONS; index++) {
        const filler = net.connect({ host: "127.0.0.1", port });
        filler.on("error", () => {});
        this.#fillers.push(filler);
      }
    }
  }

  async #waitForWorker(): Promise<void> {
    await new Promise((resolve, reject) => {
      this.#worker!.once("message", resolve);
      this.#worker!.once("error", reject);
    });
  }

  /** Listens on a free port, and returns it. */
  async listenOnFree(): Promise<number> {
    const probe = net.createServer();
    await new Promise<void>((resolve) => probe.listen(0, "127.0.0.1", resolve));
    const { port } = probe.address() as net.AddressInfo;
    await new Promise((resolve) => probe.close(resolve));
    await this.listen([port]);
    return port;
  }

  async close(): Promise<void> {
    for (const filler of this.#fillers.splice(0)) filler.destroy();
    const gate = new Int32Array(this.#gate);
    Atomics.store(gate, 0, 1);
    Atomics.notify(gate, 0);
    await this.#worker?.terminate();
  }
}
