import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  type AcquireRequest,
  type Decision,
  type Grant,
  RefusalReason,
  type ReleaseInfo,
} from "@bitternfall/dispatch";
import { RunningCalls } from "@bitternfall/dispatch-host";
import { EventLog } from "@bitternfall/events";
import { Misbehaviour, StagedServer } from "@bitternfall/stand-ins";
import { monotonicNow, ServerRole } from "@bitternfall/types";
import { CallerResponse } from "./caller_response.ts";
import { type GatewayRequest, RouteKind } from "./model.ts";
import { CrashReporter } from "./crash_reporter.ts";
import { OwnServers } from "./own_dialect.ts";
import { RequestProgress } from "./request_progress.ts";
import { ServerClient } from "./server_client.ts";
import { ServerDirectory } from "./server_directory.ts";
import { StagedCall, type StagedCallEnvironment } from "./staged_call.ts";
import { TEST_ENGINE } from "./test_gateway.ts";

const PROMPT = { promptTokens: 100, maxOutputTokens: 50, parts: [] };

/** A dispatcher with an outdated view of the servers; it grants the given decode servers. */
class StaleDispatcher {
  readonly requests: AcquireRequest[] = [];
  readonly releases: ReleaseInfo[] = [];
  readonly #decodeServers: string[];
  readonly #addresses: ReadonlyMap<string, string>;

  constructor(decodeServers: string[], addresses: ReadonlyMap<string, string>) {
    this.#decodeServers = decodeServers;
    this.#addresses = addresses;
  }

  acquire(_service: string, req: AcquireRequest): Promise<Decision> {
    this.requests.push(req);
    const decode = this.#decodeServers.shift() ?? "d2";
    const grant: Grant = {
      ...req,
      prefill: "p1",
      decode,
      prefillAddress: this.#addresses.get("p1"),
      decodeAddress: this.#addresses.get(decode),
      heldTokens: 0,
    };
    return Promise.resolve({ kind: "grant", grant });
  }

  prefilled(): void {}
  started(): void {}
  release(_service: string, _grant: Grant, info: ReleaseInfo): void {
    this.releases.push(info);
  }
}

let servers: StagedServer[];
let directory: ServerDirectory;
let log: EventLog;
let front: http.Server;

beforeEach(async () => {
  directory = new ServerDirectory();
  log = new EventLog({ level: "fatal" });
  servers = ["p1", "d1", "d2"].map((id) => new StagedServer({ id }));
  for (const server of servers) await server.listen();
});
afterEach(async () => {
  front.close();
  for (const server of servers) await server.close();
  await log.close();
});

function register(id: string, isDraining: boolean): void {
  const { port } = servers.find((server) => server.id === id)!;
  directory.set({
    id,
    bornAt: 1,
    service: "lm",
    host: "127.0.0.1",
    port,
    availabilityZone: "a",
    isDraining,
    softwareVersion: "",
    role: id === "p1" ? ServerRole.Prefill : ServerRole.Decode,
  });
}

function getAddresses(): Map<string, string> {
  return new Map(servers.map(({ id, port }) => [id, `127.0.0.1:${port}`]));
}

function createRequest(callerSignal: AbortSignal): GatewayRequest {
  const now = monotonicNow();
  return {
    requestId: "r1",
    prompt: PROMPT,
    method: "POST",
    path: "/chat/x",
    headers: [
      "host",
      "test",
      "bitternfall-request-id",
      "r1",
      "bitternfall-tokens",
      "100,50,25",
    ],
    rawHeaders: [],
    progress: new RequestProgress(),
    isForwarded: false,
    isCounted: false,
    body: undefined,
    arrivedAt: now,
    deadline: now + 3000,
    route: {
      name: "chat",
      host: "test",
      pathPrefix: "/chat/",
      kind: RouteKind.Stream,
      timeoutMs: 3000,
      targetMs: 500,
      eventGapMs: 100,
      priority: 1,
      maxAttempts: 1,
      isResumable: false,
      targets: [{ service: "lm", weight: 1 }],
    },
    service: { name: "lm", maxConnections: 10, engine: TEST_ENGINE },
    callerSignal,
  };
}

/** Serves one stream and returns its body. */
async function serve(
  dispatch: StaleDispatcher,
  links: StagedCallEnvironment["links"] = {
    checkAfterFailure: () => Promise.resolve(false),
  },
): Promise<string> {
  front = http.createServer((_req, res) => {
    const call = new StagedCall(
      {
        vmId: "vm",
        availabilityZone: "a",
        directory,
        client: new ServerClient({
          dialect: new OwnServers(),
          now: monotonicNow,
        }),
        dialect: new OwnServers(),
        dispatch,
        calls: new RunningCalls(),
        crashes: {
          suspectsRequests: () => false,
          blocks: () => false,
          recordBegin: () => {},
        },
        forwarder: {
          shouldForward: () => false,
          forward: () => Promise.reject(new Error("not expected")),
        },
        links,
        trials: { request: () => Promise.resolve(false) },
        crashReporter: new CrashReporter({
          crashes: { report: () => {} },
          links: { areSound: () => Promise.resolve(true) },
          now: monotonicNow,
        }),
        notices: { listPaused: () => [], isPaused: () => false },
        streams: { find: () => undefined, recordRelayed: () => {} },
        // The dispatcher has to pay for all retries.
        retryAllowance: {
          onRequest: () => {},
          tryTake: () => undefined,
          putBack: () => {},
        },
        log,
        now: monotonicNow,
      },
      createRequest(new AbortController().signal),
      {
        prompt: PROMPT,
        engine: TEST_ENGINE,
        callerResponse: new CallerResponse(res),
      },
    );
    void call.run();
  });
  await new Promise<void>((resolve) => front.listen(0, "127.0.0.1", resolve));
  const { port } = front.address() as AddressInfo;
  const res = await fetch(`http://127.0.0.1:${port}/`);
  return await res.text();
}

describe("a stream whose decode server is down or refuses it", () => {
  it("is decoded elsewhere from the same prefill, without a retried call", async () => {
    for (const id of ["p1", "d1", "d2"]) register(id, false);
    const dispatch = new StaleDispatcher(["d1"], getAddresses());
    const [prefill, down] = servers;
    await down!.close();
    expect(await serve(dispatch)).toContain("id: 5");
    expect(prefill!.receivedRequests).toHaveLength(1);
    expect(dispatch.requests[1]).toMatchObject({
      prefilledBy: "p1",
      retriedCalls: 0,
      avoid: ["d1"],
    });
  });

  it("is prefilled anew after two refusals, because the result may be lost", async () => {
    for (const id of ["p1", "d1", "d2"]) register(id, false);
    const dispatch = new StaleDispatcher(["d1", "d1", "d2"], getAddresses());
    const [prefill, refusing] = servers;
    refusing!.misbehaviour = Misbehaviour.Refuse;
    expect(await serve(dispatch)).toContain("id: 5");
    expect(dispatch.requests.map(({ prefilledBy }) => prefilledBy))
      .toEqual([undefined, "p1", undefined]);
    expect(dispatch.requests.map(({ retriedCalls }) => retriedCalls)).toEqual([
      0,
      1,
      2,
    ]);
    expect(prefill!.receivedRequests).toHaveLength(2);
  });
});

describe("a stream of a VM that has lost its links to all servers", () => {
  // Guards against sound servers that are ejected for all VMs on the word of one.
  it("does not blame its servers at the dispatcher", async () => {
    for (const id of ["p1", "d1", "d2"]) register(id, false);
    for (const server of servers) await server.close();
    const dispatch = new StaleDispatcher(["d1"], getAddresses());
    await serve(dispatch, {
      checkAfterFailure: () => Promise.resolve(true),
    });
    expect(dispatch.releases.length).toBeGreaterThan(0);
    for (const { failedServer } of dispatch.releases) {
      expect(failedServer).toBeUndefined();
    }
  });
});

describe("a grant by a dispatcher that does not know that a server is leaving", () => {
  it("is released unused, and another grant is requested", async () => {
    register("p1", false);
    register("d1", true);
    register("d2", false);
    const dispatch = new StaleDispatcher(["d1"], getAddresses());
    expect(await serve(dispatch)).toContain("id: 5");
    const [, leaving, healthy] = servers;
    expect(leaving!.receivedRequests).toEqual([]);
    expect(healthy!.runs).toHaveLength(1);
    expect(dispatch.requests.map(({ retriedCalls }) => retriedCalls)).toEqual([
      0,
      0,
    ]);
  });

  it("is released unused if the server's entry was removed", async () => {
    for (const id of ["p1", "d1", "d2"]) register(id, false);
    directory.remove("d1");
    const dispatch = new StaleDispatcher(["d1"], getAddresses());
    expect(await serve(dispatch)).toContain("id: 5");
    expect(servers[1]!.receivedRequests).toEqual([]);
    expect(dispatch.requests[0]?.avoid).toEqual(["d1"]);
  });

  it("is avoided by reporting the leaving servers to the dispatcher", async () => {
    register("p1", false);
    register("d1", true);
    register("d2", false);
    const dispatch = new StaleDispatcher(["d2"], getAddresses());
    await serve(dispatch);
    expect(dispatch.requests[0]?.avoid).toEqual(["d1"]);
  });

  it("is used if this VM does not know the server", async () => {
    const dispatch = new StaleDispatcher(["d2"], getAddresses());
    expect(await serve(dispatch)).toContain("id: 5");
  });
});

describe("a stream that its dispatcher has dropped while its caller waits", () => {
  // Guards against a call that ends without an answer because a dispatcher says that the
  // caller has left.
  it("is refused", async () => {
    const dispatch = new StaleDispatcher([], getAddresses());
    dispatch.acquire = () =>
      Promise.resolve({
        kind: "refusal",
        reason: RefusalReason.Withdrawn,
        retryAfterMs: 0,
      });
    expect(await serve(dispatch)).toContain("503");
  });
});
