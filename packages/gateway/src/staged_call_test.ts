import * as http from "node:http";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Misbehaviour, type StagedServer } from "@bitternfall/stand-ins";
import { OWN_HEADERS } from "./own_dialect.ts";
import { TestGateway } from "./test_gateway.ts";

let deployment: TestGateway;
let prefill: StagedServer;
let first: StagedServer;
let second: StagedServer;

beforeEach(async () => {
  deployment = new TestGateway();
  await deployment.start();
  const lm = { service: "lm" };
  prefill = await deployment.addServer({ id: "p1", role: "prefill", ...lm });
  first = await deployment.addServer({ id: "d1", role: "decode", ...lm });
  second = await deployment.addServer({ id: "d2", role: "decode", ...lm });
  await deployment.addGateway();
});
afterEach(() => deployment.close());

function readIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

const ALL_IDS = [1, 2, 3, 4, 5];

describe("a streamed request", () => {
  it("is prefilled at one server and decoded at another", async () => {
    const response = await deployment.stream({ id: "r1" });
    expect(response).toMatchObject({ status: 200, isComplete: true });
    expect(readIds(response.body)).toEqual(ALL_IDS);
    expect(prefill.receivedRequests.map(({ stage }) => stage)).toEqual([
      "prefill",
    ]);
    const [run] = [...first.runs, ...second.runs];
    expect(run?.headers["bitternfall-prefill-result"])
      .toBe(`127.0.0.1:${prefill.port}/p1-1`);
  });

  it("resumes at another server after its last complete event, with the first response headers", async () => {
    first.misbehaviour = Misbehaviour.CutStream;
    second.misbehaviour = Misbehaviour.CutStream;
    const firstReached = first.waitForActivity();
    const secondReached = second.waitForActivity();
    const response = deployment.stream({ id: "r2" });
    // The server that runs it first cuts the stream; the other one then runs normally.
    await Promise.race([firstReached, secondReached]);
    const [failing, healthy] = first.runs.length > 0
      ? [first, second]
      : [second, first];
    healthy.misbehaviour = Misbehaviour.None;
    const { body, isComplete, headers } = await response;
    expect(readIds(body)).toEqual(ALL_IDS);
    expect(isComplete).toBe(true);
    expect(headers["bitternfall-seal"]).toBe(failing.id);
    expect(healthy.runs[0]?.headers["last-event-id"]).toBe("2");
  });

  // Guards against a caller whose connection is closed although nothing was sent to it.
  it("is answered if its server breaks off before the first event", async () => {
    for (const server of [first, second]) {
      server.misbehaviour = Misbehaviour.CutStream;
    }
    // The servers cut the stream within the first event that is left.
    const headers = { [OWN_HEADERS.lastEventId]: "2" };
    const response = await deployment.stream({ id: "r8", headers });
    expect(response).toMatchObject({ status: 502, isComplete: true });
  });

  // Guards against a stream that looks complete although its server has broken off.
  it("is not complete if an answer without a length ends before the first event", async () => {
    for (const server of [first, second]) {
      server.misbehaviour = Misbehaviour.EndUnframed;
    }
    const response = await deployment.stream({ id: "r9", path: "/once/x" });
    expect(response).toMatchObject({ status: 502, isComplete: true });
  });

  it("is cut off after a complete event if its route is not resumable", async () => {
    first.misbehaviour = Misbehaviour.CutStream;
    second.misbehaviour = Misbehaviour.CutStream;
    const response = await deployment.stream({ id: "r3", path: "/once/x" });
    expect(response.isComplete).toBe(false);
    expect(response.body).toBe(
      "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n",
    );
    expect(first.runs.length + second.runs.length).toBe(1);
  });

  it("is refused without having run if every decode server refuses it", async () => {
    first.misbehaviour = Misbehaviour.Refuse;
    second.misbehaviour = Misbehaviour.Refuse;
    const response = await deployment.stream({ id: "r4" });
    expect(response.status).toBe(503);
    expect(Number(response.headers["retry-after"])).toBeGreaterThan(0);
    expect(first.runs.length + second.runs.length).toBe(0);
    // Its prefill results are freed and not left to expire.
    while (prefill.freedHandles.length < prefill.receivedRequests.length) {
      await prefill.waitForActivity();
    }
  });

  it("is retried at another server if one fails, without an error to the caller", async () => {
    first.misbehaviour = Misbehaviour.Fail;
    for (let turn = 0; turn < 4; turn++) {
      const response = await deployment.stream({ id: `f${turn}` });
      expect(response).toMatchObject({ status: 200, isComplete: true });
      expect(readIds(response.body)).toEqual(ALL_IDS);
    }
  });

  it("receives the server's error response unchanged if its route is not resumable", async () => {
    first.misbehaviour = Misbehaviour.Fail;
    second.misbehaviour = Misbehaviour.Fail;
    const response = await deployment.stream({ id: "g1", path: "/once/x" });
    expect(response).toMatchObject({ status: 500, isComplete: true });
    expect(response.body).toBe("failed");
    expect(response.headers["bitternfall-seal"]).toMatch(/^d[12]$/);
  });

  it("is prefilled at its decode server if no prefill server is left", async () => {
    await deployment.register(prefill, {
      service: "lm",
      role: "prefill",
      isDraining: true,
    });
    let response = await deployment.stream({ id: "r5" });
    while (
      prefill.receivedRequests.some(({ requestId }) => requestId === "r5")
    ) {
      prefill.receivedRequests.length = 0;
      response = await deployment.stream({ id: "r5" });
    }
    expect(readIds(response.body)).toEqual(ALL_IDS);
  });

  it("is cancelled at its server if the caller disconnects", async () => {
    first.misbehaviour = Misbehaviour.Hang;
    second.misbehaviour = Misbehaviour.Hang;
    const req = http.request({
      port: deployment.ports[0]!.caller,
      host: "127.0.0.1",
      method: "POST",
      path: "/once/x",
      headers: {
        host: "test",
        "bitternfall-request-id": "r6",
        "bitternfall-tokens": "1000,100,50",
      },
    });
    req.on("error", () => {});
    req.end("prompt");
    const runs = () => [...first.runs, ...second.runs];
    while (runs().length === 0) {
      await Promise.race([first.waitForActivity(), second.waitForActivity()]);
    }
    req.destroy();
    while (!runs()[0]!.abandoned) {
      await Promise.race([first.waitForActivity(), second.waitForActivity()]);
    }
  });
});

describe("two VMs", () => {
  it("serve streams through one dispatcher, whichever VM receives them", async () => {
    await deployment.addGateway();
    for (let turn = 0; turn < 6; turn++) {
      const response = await deployment.stream({ id: `t${turn}` }, turn % 2);
      expect(readIds(response.body)).toEqual(ALL_IDS);
    }
  });

  it("keep serving when one of them stops, which finishes its streams in flight", async () => {
    await deployment.addGateway({
      shutdown: { balancerLagMs: 50, graceSeconds: 5 },
    });
    const stopping = deployment.gateways[1]!;
    const inFlight = deployment.stream({ id: "u0" }, 1);
    while (prefill.receivedRequests.length === 0) {
      await prefill.waitForActivity();
    }
    const stopped = stopping.stop("test");
    expect(stopping.isReady).toBe(false);
    const response = await inFlight;
    expect(readIds(response.body)).toEqual(ALL_IDS);
    await stopped;
    expect(readIds((await deployment.stream({ id: "u1" }, 0)).body))
      .toEqual(ALL_IDS);
  });
});
