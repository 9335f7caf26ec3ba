/**
 * Starts gateways as separate processes, with the `run` line and the template of settings of
 * `deploy/system.toml`, and ends them.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import { sleep } from "./store.js";

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
const DEPLOY_FILE = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
const RUN_LINE = /^run = "(.*)"$/m.exec(DEPLOY_FILE)[1].split(" ");
const TEMPLATE = fs.readFileSync(
  path.join(ROOT, /^template = "(.*)"$/m.exec(DEPLOY_FILE)[1]),
  "utf8",
);

/** Bounds of the Plochka sheet, which the settings carry. */
export const BOUNDS = {
  stable_window_ms: 3000,
  drain_ms: 2000,
  grace_s: 8,
  config_apply_ms: 2000,
  max_skew_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 54,
  lease_ms: 3000,
  thaw_ms: 300,
};

/** Fills in a template as DEPLOY.md says, as far as ours needs it. */
function render(template, fields) {
  const find = (name) =>
    name.split(".").reduce((value, key) => value?.[key], fields);
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, inner) =>
      find(name) === undefined ? "" : render(inner, fields))
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, json) => {
      const value = find(name);
      if (json !== undefined) return JSON.stringify(value);
      return value === undefined ? "" : String(value);
    });
}

/** Ports that are free on all loopback addresses. */
export async function findPorts(count) {
  const servers = [];
  const ports = [];
  for (let at = 0; at < count; at++) {
    const server = net.createServer();
    await new Promise((resolve) => server.listen(0, "0.0.0.0", resolve));
    servers.push(server);
    ports.push(server.address().port);
  }
  await Promise.all(servers.map((server) =>
    new Promise((resolve) => server.close(resolve))
  ));
  return ports;
}

export class Gateways {
  /** `hosts`: the loopback address of each machine, by its name. */
  constructor({ storeAddress, record, hosts, logs = process.env.KEEP_LOGS }) {
    Object.assign(this, { storeAddress, record, hosts, logs });
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-2-"));
    this.children = new Map();
    this.exits = [];
    /** Signals that were sent: { at, name, signal }. */
    this.signals = [];
    process.once("exit", () => {
      for (const child of this.children.values()) child.kill("SIGKILL");
    });
  }

  async prepare() {
    const [front, ready, peer, metrics] = await findPorts(4);
    this.ports = { front, ready, peer, metrics };
  }

  start(name, fields = {}) {
    const ip = this.hosts[name];
    const { front, ready, peer, metrics } = this.ports;
    const settings = render(TEMPLATE, {
      node_name: name,
      zone: "z-a",
      ip,
      internal_port_range: [peer, metrics],
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
      limits: { cpu_share: 0.675, memory_mb: 200, max_fds: 4100 },
      bounds: BOUNDS,
      platform: { address: this.storeAddress },
      ...fields,
    });
    const file = path.join(this.folder, `${name}.json`);
    fs.writeFileSync(file, settings);
    const [program, ...args] = RUN_LINE;
    const child = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BITTERNFALL_NODE_FILE: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.children.set(name, child);
    this.record(`gateway ${name}: started`);
    const keep = (data) => {
      if (this.logs) fs.appendFileSync(path.join(this.logs, `${name}.log`), data);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.once("exit", (code, signal) => {
      this.exits.push({ at: Date.now(), name, code, signal });
      this.record(`gateway ${name}: ended with ${signal ?? code}`);
    });
    return child;
  }

  signal(name, signal) {
    this.signals.push({ at: Date.now(), name, signal });
    this.record(`gateway ${name}: gets ${signal}`);
    this.children.get(name).kill(signal);
  }

  isRunning(name) {
    const child = this.children.get(name);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  async whenEnded(name) {
    while (this.isRunning(name)) await sleep(20);
  }

  isReady(name) {
    return new Promise((resolve) => {
      const req = http.get({
        host: this.hosts[name],
        port: this.ports.ready,
        path: "/readyz",
        agent: false,
        timeout: 500,
      }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on("timeout", () => req.destroy());
      req.on("error", () => resolve(false));
    });
  }

  async whenReady(name, timeoutMs = 15_000) {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      if (await this.isReady(name)) {
        this.record(`gateway ${name}: ready`);
        return;
      }
      await sleep(50);
    }
    throw new Error(`gateway ${name} is not ready`);
  }

  async close() {
    for (const child of this.children.values()) child.kill("SIGKILL");
    for (const name of this.children.keys()) await this.whenEnded(name);
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}
