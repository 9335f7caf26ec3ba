import { describe, expect, it } from "vitest";
import { ServerRole } from "@bitternfall/types";
import type { EngineTraits, ServerEntry } from "./model.ts";
import { planPrefillCount, planRoleChanges } from "./role_planner.ts";

const ENGINE: EngineTraits = {
  slots: 16,
  memoryTokens: 29_250,
  tokensPerEvent: 11,
  handleMs: 500,
  roleSwitchMs: 6000,
};
const MIX = {
  promptTokens: 3200,
  outputTokens: 800,
  prefillTokensPerMs: 33,
  prefillBaseMs: 30,
  holdMs: 3300,
};

function createServers(roles: string): ServerEntry[] {
  return [...roles].map((letter, index) => ({
    id: `s${index}`,
    bornAt: 0,
    service: "lm",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: index % 2 === 0 ? "a" : "b",
    isDraining: false,
    softwareVersion: "",
    role: letter === "p" ? ServerRole.Prefill : ServerRole.Decode,
  }));
}

describe("planPrefillCount", () => {
  it("assigns more servers to decode for long outputs", () => {
    expect(planPrefillCount({ total: 10 }, ENGINE, MIX)).toBe(2);
    expect(planPrefillCount({ total: 34 }, ENGINE, MIX)).toBe(7);
    expect(planPrefillCount({ total: 10 }, ENGINE, { ...MIX, holdMs: 10_000 }))
      .toBe(1);
  });

  it("assigns more servers to prefill for long prompts", () => {
    const mix = { ...MIX, promptTokens: 12_000, outputTokens: 100 };
    expect(planPrefillCount({ total: 10 }, ENGINE, { ...mix, holdMs: 500 }))
      .toBe(6);
  });

  it("keeps the current split unless another one serves clearly more", () => {
    const mix = { ...MIX, minRateGain: 0.05 };
    const nearBest = { total: 34, current: 8 };
    expect(planPrefillCount(nearBest, ENGINE, mix)).toBe(8);
    const farFromBest = { total: 34, current: 13 };
    expect(planPrefillCount(farFromBest, ENGINE, mix)).toBe(7);
  });

  // Guards against a third of the prompts on decode servers for a hundredth of the rate.
  it("prefers prefill servers where decode servers gain next to nothing by prefilling", () => {
    const engine = { ...ENGINE, slots: 48, memoryTokens: 42_121 };
    expect(planPrefillCount({ total: 6 }, engine, MIX)).toBe(2);
  });

  it("leaves at least one server to each role", () => {
    expect(planPrefillCount({ total: 2 }, ENGINE, MIX)).toBe(1);
    expect(planPrefillCount({ total: 1 }, ENGINE, MIX)).toBe(1);
  });
});

describe("planRoleChanges", () => {
  it("moves the surplus and keeps roles spread over zones", () => {
    const changes = planRoleChanges(createServers("ppppdddddd"), 2);
    expect(changes.map(({ role }) => role)).toEqual([
      ServerRole.Decode,
      ServerRole.Decode,
    ]);
    const zones = changes.map(({ server }) => server.availabilityZone);
    expect(new Set(zones).size).toBe(2);
  });

  it("never takes a role's last server", () => {
    expect(planRoleChanges(createServers("pd"), 2)).toEqual([]);
  });

  it("returns no changes if the split is right", () => {
    expect(planRoleChanges(createServers("ppddd"), 2)).toEqual([]);
  });
});
