import { describe, expect, it } from "vitest";
import { pickDonor } from "./pool_balancer.ts";

function createServers(prefills: number, decodes: number) {
  return [
    ...Array.from({ length: prefills }, () => ({ role: "prefill" as const })),
    ...Array.from({ length: decodes }, () => ({ role: "decode" as const })),
  ];
}

describe("pickDonor", () => {
  it("picks the pool with spare capacity when the other one is short of servers", () => {
    expect(pickDonor({ prefill: 0.95, decode: 0.3 }, createServers(4, 6))).toBe(
      "decode",
    );
    expect(pickDonor({ prefill: 0.3, decode: 0.95 }, createServers(4, 6))).toBe(
      "prefill",
    );
  });

  it("picks no pool if the donor would become too busy or no pool is short of servers", () => {
    expect(pickDonor({ prefill: 0.95, decode: 0.7 }, createServers(4, 6)))
      .toBeUndefined();
    expect(pickDonor({ prefill: 0.95, decode: 0.95 }, createServers(4, 6)))
      .toBeUndefined();
    expect(pickDonor({ prefill: 0.5, decode: 0.5 }, createServers(4, 6)))
      .toBeUndefined();
  });

  it("never picks a pool that has only one server", () => {
    expect(pickDonor({ prefill: 0.95, decode: 0 }, createServers(9, 1)))
      .toBeUndefined();
  });
});
