import * as fs from "node:fs";
import { describe, expect, it } from "vitest";
import { EVENTS } from "./catalogue.ts";

describe("EVENTS", () => {
  it("assigns a unique number to each event", () => {
    const ids = Object.values(EVENTS).map((event) => event.id);
    expect(new Set(ids).size).toBe(ids.length);
  });

  it("matches the list in docs/EVENTS.md", () => {
    const page = fs.readFileSync(
      new URL("../../../docs/EVENTS.md", import.meta.url),
      "utf8",
    );
    const rows = [
      ...page.matchAll(/^\| *(\d+) *\| *(\w+) *\| *(\w+) *\| *(.+?) *\|$/gm),
    ];
    const listed = rows.map(([, id, level, name, text]) => ({
      name,
      id: Number(id),
      level,
      text,
    }));
    expect(listed).toEqual(
      Object.entries(EVENTS).map(([name, event]) => ({ name, ...event })),
    );
  });
});
