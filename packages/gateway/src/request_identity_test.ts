import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { hashRequest } from "./request_identity.ts";

const REQUEST = {
  method: "POST",
  path: "/safe/x?page=1",
  headers: ["Host", "a.test", "Request-Id", "r1", "Authorization", "alice"],
  body: Buffer.from("body"),
};

describe("the identity of a request", () => {
  it("is the same for a repetition with another id", () => {
    const headers = ["host", "a.test", "Request-Id", "r2", "authorization"];
    expect(hashRequest({ ...REQUEST, headers: [...headers, "alice"] }))
      .toBe(hashRequest(REQUEST));
  });

  // Guards against sound requests that are taken for one that ends servers.
  it("differs in method, host, path, caller and body", () => {
    const headers = (host: string, caller: string) => [
      ...["Host", host, "Request-Id", "r1"],
      ...["Authorization", caller],
    ];
    const others = [
      REQUEST,
      { ...REQUEST, method: "PUT" },
      { ...REQUEST, headers: headers("b.test", "alice") },
      { ...REQUEST, path: "/safe/x?page=2" },
      { ...REQUEST, headers: headers("a.test", "bob") },
      { ...REQUEST, body: Buffer.from("other") },
      { ...REQUEST, body: undefined },
      { ...REQUEST, workspace: { name: "huka", keys: [] } },
      { ...REQUEST, workspace: { name: "welo", keys: [] } },
    ];
    expect(new Set(others.map(hashRequest)).size).toBe(others.length);
  });
});
