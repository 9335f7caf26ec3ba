import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { describe, expect, it } from "vitest";
import * as fc from "fast-check";
import {
  getSettingsJsonSchema,
  parseSettings,
  readSettings,
  SettingsError,
} from "./mod.ts";

const MINIMAL = {
  vm: { id: "entry-1", availabilityZone: "sofia-a" },
  platform: { objectApi: "http://127.0.0.1:1", vmList: "http://127.0.0.1:2" },
  peerKey: "sixteen-characters",
};

function catchFaults(
  text: string,
): readonly { path: string; message: string }[] {
  try {
    parseSettings(text);
  } catch (err) {
    if (err instanceof SettingsError && err.detail.tag === "malformed") {
      return err.detail.faults;
    }
    throw err;
  }
  return [];
}

describe("settings", () => {
  it("get defaults for missing values", () => {
    const settings = parseSettings(JSON.stringify(MINIMAL));
    expect(settings.limits.bodyBytes).toBe(4_000_000);
    expect(settings.vm.cell).toBe("cell-1");
  });

  it("are refused with all faults at once, each with its path and the value found", () => {
    const faults = catchFaults(JSON.stringify({
      ...MINIMAL,
      vm: { id: "Entry 1", availabilityZone: "" },
      limits: { bodyBytes: "big" },
      colour: "red",
    }));
    const paths = faults.map((fault) => fault.path);
    expect(paths).toEqual(
      expect.arrayContaining([
        "vm.id",
        "vm.availabilityZone",
        "limits.bodyBytes",
        "",
      ]),
    );
    expect(faults.find((fault) => fault.path === "limits.bodyBytes")?.message)
      .toContain('"big"');
    expect(faults.some((fault) => fault.message.includes("colour"))).toBe(true);
  });

  it("prefer the peer key from the environment, and are refused without a peer key", () => {
    const settings = parseSettings(JSON.stringify(MINIMAL), {
      BITTERNFALL_PEER_KEY: "another-key-of-16",
    });
    expect(settings.peerKey).toBe("another-key-of-16");
    expect(
      catchFaults(JSON.stringify({ ...MINIMAL, peerKey: undefined }))[0]?.path,
    ).toBe("peerKey");
  });

  it("are reported as unreadable without a file and as malformed when not JSON", () => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "settings-"));
    const file = path.join(directory, "settings.json");
    expect(() => readSettings(file)).toThrow("cannot read settings");
    fs.writeFileSync(file, "{");
    expect(() => readSettings(file)).toThrow("not JSON");
    fs.rmSync(directory, { recursive: true });
  });

  it("have a JSON Schema", () => {
    expect(JSON.stringify(getSettingsJsonSchema())).toContain(
      "availabilityZone",
    );
  });

  it("of arbitrary JSON are refused with a SettingsError only", () => {
    fc.assert(
      fc.property(fc.json(), (text) => {
        try {
          parseSettings(text);
        } catch (err) {
          expect(err).toBeInstanceOf(SettingsError);
        }
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});
