import { describe, expect, it } from "vitest";
import { GatewaySettingsError, parseGatewaySettings } from "./settings.ts";

const listener = { host: "127.0.0.1", port: 0 };
const PEER_KEY = "a-shared-secret-of-the-test";

function parse(fields: object): unknown {
  return parseGatewaySettings(JSON.stringify({
    vm: { id: "vm-1", availabilityZone: "a" },
    listen: { caller: listener, ready: listener, peer: listener },
    peerKey: PEER_KEY,
    objectApi: { address: "127.0.0.1:1" },
    ...fields,
  }));
}

function getError(fields: object): string {
  try {
    parse(fields);
  } catch (err) {
    if (err instanceof GatewaySettingsError) return err.message;
    throw err;
  }
  throw new Error("the settings were accepted");
}

describe("parseGatewaySettings", () => {
  it("names the field, what is allowed and the value of malformed settings", () => {
    expect(getError({ orders: { leaseMs: 0 } })).toBe(
      "orders.leaseMs: Too small: expected number to be >=1, found 0",
    );
    expect(getError({ peerAddress: "here" })).toBe(
      'peerAddress: expected host:port, found "here"',
    );
    expect(
      getError({ listen: { caller: listener, ready: listener, peer: {} } }),
    ).toBe(
      "listen.peer: expected " +
        '{"host": text, "port": 0 to 65535} or {"address": "host:port"}',
    );
    expect(getError({ other: 1 })).toBe(
      'settings: Unrecognized key: "other"',
    );
  });

  it("does not repeat the peer key in an error", () => {
    expect(getError({ peerKey: "short-secret" })).not.toContain("secret");
    expect(getError({ other: 1 })).not.toContain(PEER_KEY);
  });

  it("says that a text is not JSON", () => {
    expect(() => parseGatewaySettings("{")).toThrow("settings are not JSON: ");
  });

  it("reads an address as host and port", () => {
    const caller = { address: "127.0.0.1:80" };
    expect(parse({ listen: { caller, ready: listener, peer: listener } }))
      .toMatchObject({ listen: { caller: { host: "127.0.0.1", port: 80 } } });
  });

  // The template renders an empty text for deployments without quotas.
  it("takes an empty balancing policy for the default", () => {
    const parsePolicy = (balancing?: object) =>
      (parse({ balancing }) as { balancing: { policy: string } }).balancing
        .policy;
    expect(parsePolicy()).toBe("two-choices");
    expect(parsePolicy({ policy: "" })).toBe("two-choices");
    expect(parsePolicy({ policy: "estimated-load" })).toBe("estimated-load");
    expect(() => parsePolicy({ policy: "random" })).toThrow("balancing.policy");
  });

  // Guards against deployments without quotas, whose template leaves the texts empty.
  it("reads the bound on quotas as numbers or texts, and empty texts as none", () => {
    const parseQuota = (quota?: unknown) =>
      (parse({ quota }) as { quota: unknown }).quota;
    const defaults = { windowSeconds: 8, tolerance: 0.1, slack: 0 };
    expect(parseQuota()).toEqual(defaults);
    expect(parseQuota({ windowSeconds: "", tolerance: "", slack: "" }))
      .toEqual(defaults);
    expect(parseQuota({ windowSeconds: 4, tolerance: "0.2", slack: "190000" }))
      .toEqual({ windowSeconds: 4, tolerance: 0.2, slack: 190_000 });
    expect(() => parseQuota({ slack: "-1" })).toThrow("quota.slack");
  });

  it("reads memory as a number or text, and an empty text as none", () => {
    const parseMemory = (memoryMb?: unknown) => {
      const vm = { id: "vm-1", availabilityZone: "a", memoryMb };
      return (parse({ vm }) as { vm: { memoryMb: number } }).vm.memoryMb;
    };
    expect(parseMemory("350")).toBe(350);
    expect(parseMemory(350)).toBe(350);
    expect(parseMemory("")).toBe(parseMemory());
    expect(() => parseMemory("much")).toThrow("vm.memoryMb");
  });
});
