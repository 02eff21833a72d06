/** Time for peers to tell of answers before a part is judged. */
const REVIEW_AFTER_MS = 30;
/** The same for a part that was answered shortly before: it may be again. */
const REVIEW_PROVEN_AFTER_MS = 1_000;
/** Parts of a gateway's own observations that are remembered. */
const MAX_OBSERVED = 8_192;

/** Which parts are to be judged when, by the gateways that saw them. */
export interface PartReviews {
  /** This gateway had a prompt with the part on an engine that ended. */
  observed(part: string): void;
  /** Sets the review of a part, if this gateway has observed it. */
  schedule(part: string, nowMs: number, wasProven: boolean): void;
  /** Removes and returns the parts that are due. */
  takeDue(nowMs: number): string[];
}

/** Creates reviews of which none is due. */
export function createPartReviews(): PartReviews {
  const observed = new Set<string>();
  const dueMs = new Map<string, number>();

  return {
    observed: part => {
      observed.delete(part);
      observed.add(part);
      const [oldest] = observed;
      if (observed.size > MAX_OBSERVED && oldest !== undefined) {
        observed.delete(oldest);
      }
    },
    schedule: (part, nowMs, wasProven) => {
      if (!observed.has(part) || dueMs.has(part)) return;
      const pauseMs = wasProven ? REVIEW_PROVEN_AFTER_MS : REVIEW_AFTER_MS;
      dueMs.set(part, nowMs + pauseMs);
    },
    takeDue: nowMs => {
      const due = [...dueMs].filter(([, atMs]) => atMs <= nowMs);
      for (const [part] of due) dueMs.delete(part);
      return due.map(([part]) => part);
    },
  };
}
