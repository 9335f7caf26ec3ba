import { Buffer } from "node:buffer";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type OpenRequest, OpenRequests } from "./open_requests.ts";
import { RequestStage } from "./request_progress.ts";

let open: OpenRequests;
let server: http.Server;
let arrived: Promise<OpenRequest>;
let answer: Promise<Response>;

beforeEach(async () => {
  open = new OpenRequests();
  server = http.createServer();
  arrived = new Promise((resolve) =>
    server.once("request", (_, res) => resolve(open.add(res)))
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  answer = fetch(`http://127.0.0.1:${port}/`);
});
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

describe("an open request that a stop ends", () => {
  // Guards against a promise that a request has not run which may have, and the reverse.
  for (
    const [name, stage, status, prepare] of [
      ["while it is read", RequestStage.Reading, 503, () => {}],
      ["before a send", RequestStage.Queued, 503, ({ progress }) => {
        progress.isRead = true;
      }],
      ["after a refused send", RequestStage.Queued, 503, ({ progress }) => {
        progress.isRead = true;
        progress.beginSend()(false);
      }],
      ["in its prefill", RequestStage.AtServer, 503, ({ progress }) => {
        progress.isRead = true;
        progress.beginSend({ isPrefill: true });
      }],
      ["at a server", RequestStage.AtServer, 504, ({ progress }) => {
        progress.isRead = true;
        progress.beginSend();
        progress.beginSend()(false);
      }],
      ["after a failed run", RequestStage.AtServer, 504, ({ progress }) => {
        progress.isRead = true;
        progress.beginSend()(true);
      }],
    ] satisfies [string, RequestStage, number, (open: OpenRequest) => void][]
  ) {
    it(`is told ${status} ${name}`, async () => {
      const request = await arrived;
      prepare(request);
      expect(open.countStages()[stage]).toBe(1);
      await open.endUnanswered();
      expect(request.callerSignal.aborted).toBe(true);
      const res = await answer;
      expect([res.status, res.headers.get("connection")])
        .toEqual([status, "close"]);
      expect(res.headers.has("retry-after")).toBe(status === 503);
    });
  }

  // Guards against an answer that is replaced by a failure, or is made to look complete.
  it("keeps an answer that has begun", async () => {
    const { callerResponse, callerSignal } = await arrived;
    callerResponse.writeHead(200, []);
    callerResponse.write(Buffer.from("half"));
    await open.endUnanswered();
    expect(callerSignal.aborted).toBe(false);
    callerResponse.end(Buffer.from(" and half"));
    expect(await (await answer).text()).toBe("half and half");
  });

  // Guards against an answer that had arrived and is replaced by a failure.
  it("gets an answer that is ready in the same turn", async () => {
    const { callerResponse } = await arrived;
    const ended = open.endUnanswered();
    setImmediate(() => callerResponse.end(Buffer.from("ready")));
    await ended;
    expect(await (await answer).text()).toBe("ready");
  });
});
