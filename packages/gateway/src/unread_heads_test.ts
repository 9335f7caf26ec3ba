import * as http from "node:http";
import * as net from "node:net";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { Listener } from "@bitternfall/connection";
import { sleep } from "@bitternfall/types";
import { MemoryPool } from "@bitternfall/caller";
import { HEAP_PER_BYTE, UnreadHeads } from "./unread_heads.ts";

const MAX_HEAD_BYTES = 65_536;
const PART = `POST / HTTP/1.1\r\nhost: x\r\nx-long: ${"y".repeat(50_000)}`;
const REQUEST = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab";
/** Longer than the unfinished heads take to be noticed. */
const ANSWER_MS = 500;

let listener: Listener;
let port: number;
let callers: net.Socket[];

/** Has room for two unfinished heads. */
const heads = new MemoryPool(2.5 * PART.length * HEAP_PER_BYTE);

beforeEach(async () => {
  callers = [];
  const handler: http.RequestListener = (req, res) => {
    req.resume();
    res.write("begin ");
    setTimeout(() => res.end("end"), ANSWER_MS);
  };
  listener = new Listener(
    { host: "127.0.0.1", port: 0, maxHeaderBytes: MAX_HEAD_BYTES },
    handler,
  );
  new UnreadHeads({ heads, maxHeadBytes: MAX_HEAD_BYTES })
    .watch(listener.server, { takesUpgrades: true });
  listener.server.on("upgrade", (_, socket) => {
    socket.resume();
    setTimeout(() => socket.end("upgraded"), ANSWER_MS);
  });
  port = await listener.listen();
});
afterEach(async () => {
  for (const caller of callers) caller.destroy();
  await listener.close();
});

/** Sends texts one after the other and returns all that comes back for a while. */
async function exchange(...texts: string[]): Promise<string> {
  const caller = net.connect(port, "127.0.0.1");
  callers.push(caller);
  let received = "";
  caller.on("error", () => {});
  caller.on("data", (chunk) => received += String(chunk));
  for (const text of texts) {
    caller.write(text);
    await sleep(ANSWER_MS / 10);
  }
  await sleep(2 * ANSWER_MS);
  return received;
}

describe("unfinished heads that take too much memory", () => {
  // Guards against a refusal that is taken for the answer of a request that runs.
  it("are refused, but not into the answers of requests before them", async () => {
    const [answer, ...refusals] = await Promise.all([
      exchange(REQUEST, PART),
      ...Array.from({ length: 4 }, () => exchange(PART)),
    ]);
    expect(answer).toMatch(
      /^HTTP\/1.1 200 .*begin \r\n3\r\nend\r\n0\r\n\r\n$/s,
    );
    const refused = refusals.filter((text) => text.startsWith("HTTP/1.1 503"));
    expect(refused).toHaveLength(3);
  });

  // Guards against a process that ends since all of its callers send a part of a next head.
  it("break off answers before all memory is taken", async () => {
    const answers = await Promise.all(
      Array.from({ length: 5 }, () => exchange(REQUEST, PART)),
    );
    const whole = answers.filter((text) => text.endsWith("\r\n0\r\n\r\n"));
    expect(whole).toHaveLength(2);
    for (const text of answers) expect(text).not.toContain(" 503 ");
  });

  // Guards against connections between VMs that end since their messages count as heads.
  it("leave connections of another protocol alone", async () => {
    const upgrade =
      "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";
    const answers = await Promise.all(
      Array.from({ length: 5 }, () => exchange(upgrade, PART)),
    );
    expect(answers).toEqual(Array(5).fill("upgraded"));
  });
});
