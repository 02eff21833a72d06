/** Parts that are remembered; the ones proven longest ago are dropped. */
const MAX_PARTS = 16_384;

/** Parts of prompts that engines answered, and when last. */
export interface ProvenParts {
  /** Steady clock. */
  add(part: string, atMs: number): void;
  /** Steady clock; undefined if the part is not remembered. */
  provenMs(part: string): number | undefined;
}

/** Creates a memory without parts. */
export function createProvenParts(): ProvenParts {
  const parts = new Map<string, number>();

  return {
    add: (part, atMs) => {
      const latestMs = Math.max(atMs, parts.get(part) ?? atMs);
      parts.delete(part);
      parts.set(part, latestMs);
      const [oldest] = parts.keys();
      if (parts.size > MAX_PARTS && oldest !== undefined) parts.delete(oldest);
    },
    provenMs: part => parts.get(part),
  };
}
