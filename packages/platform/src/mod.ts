/**
 * Clients of the platform: object API, VM list and weight store.
 * @module
 */
export * from "./object_dialect.ts";
export * from "./object_store.ts";
export * from "./objects.ts";
export * from "./own_dialect.ts";
export * from "./vm_list.ts";
export * from "./weight_store.ts";
