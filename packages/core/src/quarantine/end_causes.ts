import {causeKind} from './cause_kind.js';

const RETENTION_MS = 600_000;
const MAX_ENGINES = 512;

/** Why engines ended, as far as it is known, by their start. */
export interface EndCauses {
  /** Some answer had begun on the engine. */
  begun(engine: string, atMs: number): void;
  /** A part or request is the cause, so that no other one is. */
  explain(engine: string, cause: string, atMs: number): void;
  /** It is not the cause of any engine's end after all. */
  unexplain(cause: string): void;
  /**
   * Whether the part may be the cause of the engine's end.
   * @param begun whether an answer to a prompt with the part had begun
   */
  mayBeCause(engine: string, part: string, begun: boolean): boolean;
  /** Whether a part is known to have ended the engine. */
  endedByPart(engine: string): boolean;
  prune(nowMs: number): void;
}

/** Creates the knowledge of no engine. */
export function createEndCauses(): EndCauses {
  /** Steady clock; last report of engines of which some answer had begun. */
  const begunMs = new Map<string, number>();
  /** What ended an engine, by its start. */
  const causes = new Map<string, string>();

  return {
    begun: (engine, atMs) => begunMs.set(engine, atMs),
    explain: (engine, cause, atMs) => {
      causes.set(engine, cause);
      begunMs.set(engine, atMs);
    },
    unexplain: cause => {
      for (const [engine, known] of causes) {
        if (known === cause) causes.delete(engine);
      }
    },
    // An engine's end is explained by the prompts that it had begun.
    mayBeCause: (engine, part, begun) =>
      (begun || !begunMs.has(engine)) && (causes.get(engine) ?? part) === part,
    endedByPart: engine => {
      const cause = causes.get(engine);
      return cause !== undefined && causeKind(cause) === 'part';
    },
    prune: nowMs => {
      for (const [engine, atMs] of begunMs) {
        const expired = nowMs - atMs >= RETENTION_MS;
        if (!expired && begunMs.size <= MAX_ENGINES) continue;
        begunMs.delete(engine);
        causes.delete(engine);
      }
    },
  };
}
