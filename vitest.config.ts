import { defineConfig } from "vitest/config";

export default defineConfig({
  ssr: { resolve: { conditions: ["source", "node", "import", "default"] } },
  resolve: { conditions: ["source", "node", "import", "default"] },
  test: {
    include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
    testTimeout: 20_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});
