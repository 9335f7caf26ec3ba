// Starts gateways as the deploy file does: its run line, and its template of settings filled in
// with the fields of a small deployment.
import { spawn } from "node:child_process";
import fs from "node:fs";
import net from "node:net";
import path from "node:path";

const ROOT = path.resolve(import.meta.dirname, "../..");

/** Fields of settings as a machine of the smallest sheet has them. */
export function makeFields({ name, zone, ip, ports, store, bounds = {}, limits = {} }) {
  return {
    node_name: name,
    zone,
    ip,
    internal_port_range: [ports.peer, ports.metrics],
    listen: { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` },
    limits: { cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4100, link_mbps: 1000, ...limits },
    bounds: {
      stable_window_ms: 3000,
      drain_ms: 2000,
      grace_s: 8,
      loss_slack_ms: 200,
      config_apply_ms: 2000,
      retry_budget_ratio: 0.2,
      budget_window_s: 10,
      budget_slack: 54,
      lease_ms: 3000,
      thaw_ms: 300,
      ...bounds,
    },
    platform: { address: store },
  };
}

/** Fills in the forms of placeholders that the template uses. */
export function fillTemplate(text, fields) {
  const find = (dotted) => dotted.split(".").reduce((value, key) => value?.[key], fields);
  const value = (dotted) => {
    const found = find(dotted);
    if (found === undefined || found === null) return "";
    return typeof found === "object" ? JSON.stringify(found) : String(found);
  };
  return text
    .replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) => find(name) ? inner : "")
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, name) => JSON.stringify(find(name) ?? null))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => value(name));
}

/** Below the ports that systems give to outgoing connections, one of which could take a free port. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
const usedPorts = new Set();

/** Finds free ports. */
export async function findPorts(ip, count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (usedPorts.has(port) || !await isFree(ip, port)) continue;
    usedPorts.add(port);
    ports.push(port);
  }
  return ports;
}

function isFree(ip, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

export class Gateway {
  exits = [];
  log = [];
  #child;

  constructor({ folder, fields, onLine = () => {} }) {
    this.fields = fields;
    this.name = fields.node_name;
    this.onLine = onLine;
    this.file = path.join(folder, `${this.name}.json`);
    this.logFile = path.join(folder, `${this.name}.log`);
    [this.host, this.port] = split(fields.listen.front);
    [, this.readyPort] = split(fields.listen.ready);
  }

  start() {
    const deploy = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
    const [, run] = /^run = "(.*)"$/m.exec(deploy);
    const [, template] = /^template = "(.*)"$/m.exec(deploy);
    fs.writeFileSync(
      this.file,
      fillTemplate(fs.readFileSync(path.join(ROOT, template), "utf8"), this.fields),
    );
    const [program, ...words] = run.split(" ");
    const out = fs.openSync(this.logFile, "a");
    const child = spawn(program === "node" ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BITTERNFALL_NODE_FILE: this.file },
      stdio: ["ignore", out, out],
    });
    fs.closeSync(out);
    this.#child = child;
    child.on("exit", (code, signal) => {
      this.exits.push({ code, signal, pid: child.pid });
      this.onLine(`${this.name} ends: code ${code}, signal ${signal}`);
    });
    this.onLine(`${this.name} starts, pid ${child.pid}`);
    return child.pid;
  }

  get pid() {
    return this.#child.pid;
  }

  get isRunning() {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  kill(signal = "SIGKILL") {
    if (!this.isRunning) return;
    this.onLine(`${this.name} gets ${signal}`);
    this.#child.kill(signal);
  }

  async whenEnded() {
    if (!this.isRunning) return;
    await new Promise((resolve) => this.#child.once("exit", resolve));
  }

  async isReady() {
    try {
      const res = await fetch(`http://${this.host}:${this.readyPort}/readyz`, {
        signal: AbortSignal.timeout(1000),
      });
      await res.arrayBuffer();
      return res.status === 200;
    } catch {
      return false;
    }
  }

  async whenReady(ms = 15_000) {
    const until = Date.now() + ms;
    while (Date.now() < until) {
      if (await this.isReady()) return true;
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    return false;
  }
}

function split(address) {
  const at = address.lastIndexOf(":");
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
