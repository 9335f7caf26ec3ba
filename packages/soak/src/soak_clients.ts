/**
 * Callers of a soak. Each keeps its connection to one gateway for as long as that
 * works, whatever the balancer says, and writes down what it was told.
 * @module
 */
import * as http from "node:http";
import { OWN_HEADERS } from "@bitternfall/gateway";
import { sleep } from "@bitternfall/types";
import { type RouteName, ROUTES } from "./soak_config.ts";
import type { SoakFleet, SoakVm } from "./soak_fleet.ts";

/** One request with what its caller was told. */
export interface SoakCall {
  readonly id: string;
  readonly route: RouteName;
  readonly path: string;
  readonly payload: string;
  readonly vm: string;
  readonly sentAt: number;
  endedAt: number;
  /** When the caller went away on purpose. */
  leftAt: number;
  status: number | undefined;
  seal: string | undefined;
  retryAfterMs: number;
  body: string;
  /** Whether the answer's framing says that it is complete. */
  isComplete: boolean;
  error: string | undefined;
}

const MEAN_PAUSE_MS = 120;
const LEAVING_SHARE = 0.08;
const LEAVE_WITHIN_MS = 800;
/** Callers that are told to come back later than this look elsewhere before. */
const LONGEST_RETURN_MS = 1500;
const NO_VM_PAUSE_MS = 100;
const MS_PER_S = 1000;

/** The callers of one soak. */
export class SoakClients {
  readonly calls: SoakCall[] = [];
  readonly #fleet: SoakFleet;
  readonly #random: () => number;

  constructor(fleet: SoakFleet, random: () => number) {
    this.#fleet = fleet;
    this.#random = random;
  }

  /** Calls until aborted, then waits for the last answers. */
  async run(count: number, signal: AbortSignal): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, () => this.#runClient(signal)),
    );
  }

  /** Sends one request and waits for its end. */
  async send(
    vm: SoakVm,
    options: { route: RouteName; agent?: http.Agent; leaveAfterMs?: number },
  ): Promise<SoakCall> {
    const { route, agent, leaveAfterMs } = options;
    const id = `r${this.calls.length + 1}`;
    const call: SoakCall = {
      id,
      route,
      path: `/${route}/${id}?n=1`,
      payload: `payload of ${id}`,
      vm: vm.id,
      sentAt: performance.now(),
      endedAt: Infinity,
      leftAt: Infinity,
      status: undefined,
      seal: undefined,
      retryAfterMs: 0,
      body: "",
      isComplete: false,
      error: undefined,
    };
    this.calls.push(call);
    await exchange(call, { port: vm.callerPort, agent, leaveAfterMs });
    call.endedAt = performance.now();
    return call;
  }

  async #runClient(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const vm = this.#pickVm();
      if (vm === undefined) {
        await sleep(NO_VM_PAUSE_MS, signal);
        continue;
      }
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      await this.#use(vm, { agent, signal });
      agent.destroy();
    }
  }

  /** Uses one connection until it fails. */
  async #use(
    vm: SoakVm,
    { agent, signal }: { agent: http.Agent; signal: AbortSignal },
  ): Promise<void> {
    while (!signal.aborted) {
      const route = ROUTES[Math.floor(this.#random() * ROUTES.length)]!.name;
      const leaveAfterMs = this.#random() < LEAVING_SHARE
        ? this.#random() * LEAVE_WITHIN_MS
        : undefined;
      const call = await this.send(vm, {
        route,
        agent,
        ...(leaveAfterMs === undefined ? {} : { leaveAfterMs }),
      });
      if (call.error !== undefined) return;
      await sleep(Math.min(call.retryAfterMs, LONGEST_RETURN_MS), signal);
      await sleep(-Math.log(1 - this.#random()) * MEAN_PAUSE_MS, signal);
    }
  }

  #pickVm(): SoakVm | undefined {
    const ready = this.#fleet.vms.filter(({ isReady }) => isReady);
    return ready[Math.floor(this.#random() * ready.length)];
  }
}

function exchange(
  call: SoakCall,
  options: {
    port: number;
    agent: http.Agent | undefined;
    leaveAfterMs: number | undefined;
  },
): Promise<void> {
  const { port, agent, leaveAfterMs } = options;
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const end = () => {
      clearTimeout(timer);
      resolve();
    };
    const req = http.request({
      port,
      host: "127.0.0.1",
      agent: agent ?? false,
      method: "POST",
      path: call.path,
      headers: {
        host: "soak",
        [OWN_HEADERS.requestId]: call.id,
        ...(call.route === "chat" || call.route === "once"
          ? { [OWN_HEADERS.tokens]: "1000,100,50" }
          : {}),
      },
    }, (res) => {
      call.status = res.statusCode;
      const seal = res.headers[OWN_HEADERS.seal];
      call.seal = Array.isArray(seal) ? seal[0] : seal;
      const seconds = Number(res.headers["retry-after"] ?? 0);
      call.retryAfterMs = seconds * MS_PER_S;
      res.on("data", (chunk) => call.body += String(chunk));
      res.on("error", () => {});
      res.on("close", () => {
        call.isComplete = res.complete;
        if (!res.complete) call.error = "answer broke off";
        end();
      });
    });
    req.on("error", (err) => {
      call.error = err.message;
      end();
    });
    if (leaveAfterMs !== undefined) {
      timer = setTimeout(() => {
        call.leftAt = performance.now();
        req.destroy();
      }, leaveAfterMs);
    }
    req.end(call.payload);
  });
}
